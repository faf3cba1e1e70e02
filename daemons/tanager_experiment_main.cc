// Runs scenarios with one or more named failures on virtual time. The last line
// of the output holds the measures as a JSON object. Exit status: 0 all
// guarantees held, 1 a guarantee was violated, 2 bad usage.

#include <algorithm>
#include <iostream>

#include <cxxopts.hpp>

#include "testing/scenario.h"

namespace tanagerspan
{
namespace
{

std::vector<std::string> split_names(const std::string& text)
{
    std::vector<std::string> out;
    std::size_t from = 0;
    while (from <= text.size())
    {
        auto plus = std::min(text.find('+', from), text.size());
        out.push_back(text.substr(from, plus - from));
        from = plus + 1;
    }
    return out;
}

bool is_known_failure(const std::string& name)
{
    const auto& all = failure_names();
    return name == "none" || std::any_of(all.begin(), all.end(),
                                         [&](const auto& item)
                                         {
                                             return item.first == name;
                                         });
}

int run_experiment(const cxxopts::ParseResult& given)
{
    if (given.count("list") > 0)
    {
        for (const auto& [name, what] : failure_names())
            std::cout << name << ": " << what << "\n";
        return 0;
    }
    auto names = split_names(given["name"].as<std::string>());
    for (const auto& name : names)
    {
        if (!is_known_failure(name))
        {
            std::cerr << name << ": unknown failure; see --list\n";
            return 2;
        }
    }
    auto first = given["seed"].as<std::uint64_t>();
    auto count = given["count"].as<std::uint64_t>();
    std::vector<std::int64_t> gaps;
    int seeds_broken = 0;
    nlohmann::json line;
    for (auto seed = first; seed < first + count; ++seed)
    {
        auto got = run_scenario(
            {.seed_ = seed,
             .failures_ = names,
             .size_ = given["size"].as<std::string>(),
             .disabled_ = static_cast<guard>(given["without"].as<int>()),
             .proxies_ = given["proxies"].as<std::size_t>(),
             .callers_ = given["callers"].as<std::size_t>(),
             .length_ms_ = given["length-ms"].as<std::int64_t>()});
        line = got.measures();
        gaps.push_back(got.failover_gap_ms_);
        bool print_trace = given.count("trace") > 0;
        if (!got.guarantees_hold())
            ++seeds_broken;
        if (print_trace || seeds_broken == 1)
        {
            std::cout << "seed " << seed << " broke a promise:\n";
            for (const auto& text : got.trace_)
                std::cout << "  " << text << "\n";
            std::cout << line.dump() << "\n";
        }
    }
    std::sort(gaps.begin(), gaps.end());
    line["seed"] = first;
    line["seeds"] = count;
    line["seeds_broken"] = seeds_broken;
    line["failover_gap_ms_p50"] = gaps[gaps.size() / 2];
    line["failover_gap_ms_p99"] =
        gaps[std::min(gaps.size() - 1, gaps.size() * 99 / 100)];
    line["failover_gap_ms_max"] = gaps.back();
    std::cout << line.dump() << "\n";
    return seeds_broken == 0 ? 0 : 1;
}

} // namespace
} // namespace tanagerspan

int main(int argc, char** argv)
{
    cxxopts::Options options(
        "tanager_experiment",
        "Runs failure scenarios on virtual time and checks the "
        "guarantees.");
    options.add_options()("name", "failure, or several joined by +",
                          cxxopts::value<std::string>()->default_value("none"))(
        "list", "list the failures")(
        "seed", "first seed",
        cxxopts::value<std::uint64_t>()->default_value("1"))(
        "count", "number of seeds",
        cxxopts::value<std::uint64_t>()->default_value("1"))(
        "size", "kowalchuk or lineas_andinas",
        cxxopts::value<std::string>()->default_value("kowalchuk"))(
        "proxies", "proxies",
        cxxopts::value<std::size_t>()->default_value("3"))(
        "callers", "callers",
        cxxopts::value<std::size_t>()->default_value("8"))(
        "length-ms", "length of the load",
        cxxopts::value<std::int64_t>()->default_value("14000"))(
        "without",
        "number of a guard to disable, to show that the checks detect it",
        cxxopts::value<int>()->default_value("0"))(
        "trace", "print the trace of every seed")("help", "help");
    options.parse_positional({"name"});
    try
    {
        auto given = options.parse(argc, argv);
        if (given.count("help") > 0)
        {
            std::cout << options.help();
            return 0;
        }
        return tanagerspan::run_experiment(given);
    }
    catch (const std::exception& error)
    {
        std::cerr << error.what() << "\n";
        return 2;
    }
}
