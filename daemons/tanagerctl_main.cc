// Command-line client for operators. Prints text for people by default and JSON
// with --json. Exit status: 0 done, 1 refused or failed (nothing changed), 2
// bad usage, 3 unknown whether the change took effect.

#include <fstream>
#include <iostream>
#include <iterator>

#include <Poco/URI.h>
#include <Poco/UUIDGenerator.h>
#include <cxxopts.hpp>

#include "state/team_settings.h"
#include "transport/http_connection.h"

namespace tanagerspan
{
namespace
{

constexpr int exit_ok = 0;
constexpr int exit_refused = 1;
constexpr int exit_usage = 2;
constexpr int exit_unknown = 3;
constexpr std::int64_t timeout_ms = 15'000;

constexpr std::string_view usage = R"(
Commands:
  status                         this proxy, its services, members, pools
  settings get TEAM              the branch in force on this proxy
  settings set TEAM FILE         change it (FILE: JSON with comments)
  settings withdraw TEAM         withdraw the team's plan
  settings history TEAM          earlier versions
  settings diff TEAM FILE        what `set` would change
  drain                          shut this proxy down gracefully
  move SERVICE MEMBER            planned move of a primary
  explain [SERVICE|TEAM|ID]      decisions and their causes
Exit: 0 done, 1 refused, 2 bad usage, 3 not known whether it took effect.
)";

struct context
{
    http_connection connection_;
    bool json_ = false;
    std::int64_t expected_version_ = -1;
    std::string change_id_;
};

using words = std::vector<std::string>;

int finish(const result<http_answer>& answer, bool quiet = false)
{
    if (!answer)
    {
        std::cerr << name_of(answer.error().code_) << ": "
                  << answer.error().detail_ << "\n";
        return answer.error().code_ == error_code::not_sent ? exit_refused
                                                            : exit_unknown;
    }
    constexpr int first_error_status = 400;
    bool good = answer->status_ < first_error_status;
    if (!quiet || !good)
        (good ? std::cout : std::cerr) << answer->body_ << "\n";
    bool open =
        answer->body_.find(R"("outcome":"unknown")") != std::string::npos;
    return good ? exit_ok : open ? exit_unknown : exit_refused;
}

void print_status(const nlohmann::json& status)
{
    std::cout << "proxy " << status["name"].get<std::string>() << " in "
              << status["data_centre"].get<std::string>()
              << (status["ready"].get<bool>() ? ", ready" : ", not ready")
              << (status["draining"].get<bool>() ? ", draining" : "")
              << "; settings heard " << status["settings_age_ms"]
              << " ms ago; in flight " << status["in_flight"] << "\n";
    for (const auto& peer : status["peers"])
        std::cout << "  peer " << peer["name"].get<std::string>() << " "
                  << peer["address"].get<std::string>() << " state "
                  << peer["state"] << "\n";
    for (const auto& [service, homes] : status["homes"].items())
        std::cout << "  service " << service << " homes " << homes.dump()
                  << "\n";
    for (const auto& [service, held] : status["services"].items())
    {
        std::cout << "  home of " << service << ", seat "
                  << held["seat"].get<std::string>() << "\n";
        std::size_t i = 0;
        for (const auto& member : held["members"])
        {
            const auto& pool = held["pools"][i++];
            std::cout << "    " << member["name"].get<std::string>() << " "
                      << member["role"].get<std::string>() << " term "
                      << member["promised_term"] << " position "
                      << member["position"]["index"] << " heard "
                      << member["heard_ms_ago"] << " ms ago; connections "
                      << pool["connections"] << ", slots " << pool["slots_used"]
                      << ", waiting " << pool["waiting"] << "\n";
        }
    }
}

int status(context& with)
{
    auto answer =
        with.connection_.exchange("GET", "/admin/status", "", timeout_ms);
    auto body = answer ? parse_json(answer->body_)
                       : result<nlohmann::json>(tl::unexpected(answer.error()));
    if (with.json_ || !body || !body->contains("peers"))
        return finish(answer);
    print_status(*body);
    return exit_ok;
}

result<team_settings> read_plan(const std::string& path)
{
    std::ifstream in(path);
    if (!in)
        return fail(error_code::not_found, path + ": cannot be read");
    std::string text{std::istreambuf_iterator<char>(in), {}};
    constexpr bool comments = true;
    return decode_text<team_settings>(text, comments);
}

int change(context& with, const std::string& team, const char* method,
           const nlohmann::json& plan)
{
    std::string id = with.change_id_;
    if (id.empty())
        id = Poco::UUIDGenerator::defaultGenerator().createRandom().toString();
    nlohmann::json body{{"expected_version", with.expected_version_},
                        {"change_id", id}};
    if (!plan.is_null())
        body["plan"] = plan;
    int code = finish(with.connection_.exchange(
        method, "/admin/settings/" + team, body.dump(), timeout_ms));
    if (code == exit_unknown)
        std::cerr << "repeat with --change-id " << id
                  << " to learn what became of it\n";
    return code;
}

int diff(context& with, const std::string& team, const team_settings& plan)
{
    auto answer = with.connection_.exchange("GET", "/admin/settings/" + team,
                                            "", timeout_ms);
    if (!answer)
        return finish(answer);
    auto held = decode_text<settings_branch>(answer->body_);
    nlohmann::json from = held ? encode(held->plan_) : nlohmann::json::object();
    auto patch = nlohmann::json::diff(from, encode(plan));
    if (with.json_)
        std::cout << patch.dump() << "\n";
    for (const auto& step : patch)
    {
        if (!with.json_)
            std::cout << step["op"].get<std::string>() << " "
                      << step["path"].get<std::string>() << " "
                      << (step.contains("value") ? step["value"].dump() : "")
                      << "\n";
    }
    return exit_ok;
}

int settings(context& with, const words& given)
{
    if (given.size() < 3)
        return exit_usage;
    const auto& verb = given[1];
    const auto& team = given[2];
    std::string path = "/admin/settings/" + team;
    if (verb == "get")
        return finish(with.connection_.exchange("GET", path, "", timeout_ms));
    if (verb == "history")
        return finish(with.connection_.exchange("GET", path + "/history", "",
                                                timeout_ms));
    if (verb == "withdraw")
        return change(with, team, "DELETE", nullptr);
    if ((verb != "set" && verb != "diff") || given.size() < 4)
        return exit_usage;
    auto plan = read_plan(given[3]);
    if (!plan)
    {
        std::cerr << name_of(plan.error().code_) << ": " << plan.error().detail_
                  << "\n";
        return exit_usage;
    }
    return verb == "set" ? change(with, team, "PUT", encode(*plan))
                         : diff(with, team, *plan);
}

int explain(context& with, const words& given)
{
    Poco::URI uri("/admin/decisions");
    if (given.size() > 1)
        uri.addQueryParameter("about", given[1]);
    auto answer =
        with.connection_.exchange("GET", uri.getPathAndQuery(), "", timeout_ms);
    auto body = answer ? parse_json(answer->body_)
                       : result<nlohmann::json>(tl::unexpected(answer.error()));
    if (with.json_ || !body || !body->is_array())
        return finish(answer);
    for (const auto& made : *body)
        std::cout << made["time"].get<std::string>() << " "
                  << made["what"].get<std::string>() << " of "
                  << made["subject"].get<std::string>() << ", term or version "
                  << made["term_or_version"] << ", by "
                  << made["correlation"].get<std::string>() << ": "
                  << made["cause"].get<std::string>() << "\n";
    return exit_ok;
}

int run(context& with, const words& given)
{
    if (given.empty())
        return exit_usage;
    if (given[0] == "status")
        return status(with);
    if (given[0] == "settings")
        return settings(with, given);
    if (given[0] == "explain")
        return explain(with, given);
    if (given[0] == "drain")
        return finish(with.connection_.exchange("POST", "/admin/drain", "{}",
                                                timeout_ms));
    if (given[0] == "move" && given.size() == 3)
        return finish(with.connection_.exchange(
            "POST", "/admin/move",
            nlohmann::json{{"service", given[1]}, {"target", given[2]}}.dump(),
            timeout_ms));
    return exit_usage;
}

} // namespace
} // namespace tanagerspan

int main(int argc, char** argv)
{
    cxxopts::Options options("tanagerctl", "Operates a tanagerspan fleet.");
    options.add_options()("proxy", "IP:PORT of a proxy",
                          cxxopts::value<std::string>()->default_value(
                              "127.0.0.1:7001"))("json", "JSON output")(
        "expect", "the version that a change must replace",
        cxxopts::value<std::int64_t>()->default_value("-1"))(
        "change-id", "id of a change that is repeated",
        cxxopts::value<std::string>()->default_value(""))(
        "words", "", cxxopts::value<std::vector<std::string>>())("help",
                                                                 "help");
    options.parse_positional({"words"});
    options.positional_help("COMMAND ...");
    try
    {
        auto given = options.parse(argc, argv);
        tanagerspan::words words;
        if (given.count("words") > 0)
            words = given["words"].as<std::vector<std::string>>();
        if (given.count("help") > 0)
        {
            std::cout << options.help() << tanagerspan::usage;
            return 0;
        }
        tanagerspan::context with{
            .connection_ =
                tanagerspan::http_connection(given["proxy"].as<std::string>()),
            .json_ = given.count("json") > 0,
            .expected_version_ = given["expect"].as<std::int64_t>(),
            .change_id_ = given["change-id"].as<std::string>()};
        int code = tanagerspan::run(with, words);
        if (code == tanagerspan::exit_usage)
            std::cerr << "bad usage; see --help\n";
        return code;
    }
    catch (const std::exception& bad)
    {
        std::cerr << bad.what() << "\n";
        return tanagerspan::exit_usage;
    }
}
