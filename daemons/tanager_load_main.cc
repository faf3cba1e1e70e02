// Load generator: runs one of the two workloads against a real fleet, checks
// the responses that its callers received, and prints a report. The last line
// of the output is one JSON object. Exit status: 0 no violation found, 1 a
// guarantee was violated or a proxy could not be audited, 2 bad usage.

#include <algorithm>
#include <iostream>
#include <unistd.h>

#include <cxxopts.hpp>

#include "load/load_run.h"
#include "transport/endpoint_client.h"
#include "transport/monotonic_clock.h"

namespace tanagerspan
{
namespace
{

using strings = std::vector<std::string>;

std::int64_t quantile(std::vector<std::int64_t> values, double q)
{
    if (values.empty())
        return 0;
    std::sort(values.begin(), values.end());
    auto at =
        static_cast<std::size_t>(q * static_cast<double>(values.size() - 1));
    return values[at];
}

// Measures the latency that a proxy adds to a read, in microseconds. The same
// read goes alternately through the proxy and directly to the member, on one
// thread, so that both are measured under the same load of the host.
nlohmann::json measure_added_latency(const std::string& proxy,
                                     const std::string& member,
                                     const workload& with,
                                     const std::string& class_name, int pairs)
{
    fleet_caller caller({proxy});
    http_connection direct_connection(member);
    constexpr std::int64_t timeout_ms = 5000;
    statement_request request{.service_ = with.service_,
                              .class_ = class_name,
                              .operations_ = {{"get", "order/none", ""}},
                              .token_ = ""};
    request.token_ = caller.send(0, request, timeout_ms).token_;
    read_request direct_request{.at_least_ = {},
                                .operations_ = {{"get", "order/none", ""}}};
    std::vector<std::int64_t> through_us;
    std::vector<std::int64_t> direct_us;
    for (int i = 0; i < pairs; ++i)
    {
        auto started_us = monotonic_us();
        auto got = caller.send(0, request, timeout_ms);
        auto proxy_done_us = monotonic_us();
        auto direct_response = call_endpoint<execute_answer>(
            direct_connection, "/v1/read", direct_request, timeout_ms);
        auto direct_done_us = monotonic_us();
        if (got.outcome_ != outcome::done || !direct_response)
            continue;
        through_us.push_back(proxy_done_us - started_us);
        direct_us.push_back(direct_done_us - proxy_done_us);
    }
    return {{"pairs", through_us.size()},
            {"through_p50", quantile(through_us, 0.5)},
            {"direct_p50", quantile(direct_us, 0.5)},
            {"p50", quantile(through_us, 0.5) - quantile(direct_us, 0.5)},
            {"p99", quantile(through_us, 0.99) - quantile(direct_us, 0.99)}};
}

void print_report(const load_run& run, const workload& with)
{
    std::cout << "workload " << with.name_ << "\n";
    for (const auto& share : with.shares_)
        std::cout << "  class " << share.class_ << ": p50 "
                  << run.latencies().quantile_us(with.team_, share.class_, 0.5)
                  << " us, p99 "
                  << run.latencies().quantile_us(with.team_, share.class_, 0.99)
                  << " us\n";
    auto measures = run.recorded_history().measures();
    for (const auto& [name, value] : measures.items())
        std::cout << "  " << name << " " << value << "\n";
}

int run_load(const cxxopts::ParseResult& given)
{
    auto with = find_workload(given["workload"].as<std::string>());
    if (!with)
    {
        std::cerr << with.error().detail_ << "\n";
        return 2;
    }
    load_run run({.workload_ = *with,
                  .proxies_ = given["proxies"].as<strings>(),
                  .rate_per_s_ = given["rate"].as<double>(),
                  .duration_ms_ = given["duration-ms"].as<std::int64_t>(),
                  .workers_ = given["workers"].as<std::size_t>(),
                  .seed_ = given["seed"].as<std::uint64_t>(),
                  .progress_ = isatty(STDERR_FILENO) != 0});
    bool audited = run.run();
    print_report(run, *with);
    auto line = run.recorded_history().measures();
    line["workload"] = with->name_;
    line["seed"] = given["seed"].as<std::uint64_t>();
    if (given.count("direct") > 0)
        line["added_latency_us"] = measure_added_latency(
            given["proxies"].as<strings>().at(
                given["direct-proxy"].as<std::size_t>()),
            given["direct"].as<std::string>(), *with, with->shares_[2].class_,
            given["pairs"].as<int>());
    std::cout << line.dump() << "\n";
    return audited && run.recorded_history().violations().none() ? 0 : 1;
}

} // namespace
} // namespace tanagerspan

int main(int argc, char** argv)
{
    cxxopts::Options options(
        "tanager_load", "Generates load for a fleet and checks the responses.");
    options.add_options()("proxies",
                          "IP:PORT of each proxy, separated by commas",
                          cxxopts::value<tanagerspan::strings>())(
        "workload", "kowalchuk or lineas_andinas",
        cxxopts::value<std::string>()->default_value("kowalchuk"))(
        "rate", "statements per second",
        cxxopts::value<double>()->default_value("200"))(
        "duration-ms", "length of the load",
        cxxopts::value<std::int64_t>()->default_value("3000"))(
        "workers", "number of threads",
        cxxopts::value<std::size_t>()->default_value("16"))(
        "seed", "seed", cxxopts::value<std::uint64_t>()->default_value("1"))(
        "direct",
        "IP:PORT of a member, to measure the latency that a proxy adds",
        cxxopts::value<std::string>())(
        "direct-proxy", "index of the measured proxy",
        cxxopts::value<std::size_t>()->default_value("0"))(
        "pairs", "number of measured pairs of reads",
        cxxopts::value<int>()->default_value("2000"))("help", "help");
    try
    {
        auto given = options.parse(argc, argv);
        if (given.count("help") > 0 || given.count("proxies") == 0)
        {
            std::cout << options.help();
            return given.count("help") > 0 ? 0 : 2;
        }
        return tanagerspan::run_load(given);
    }
    catch (const std::exception& error)
    {
        std::cerr << error.what() << "\n";
        return 2;
    }
}
