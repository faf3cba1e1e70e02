// Command-line client for operators. Prints text for people by default and JSON
// with --json. Exit status: 0 done, 1 refused or failed (nothing changed), 2
// bad usage, 3 unknown whether the change took effect.

#include <fstream>
#include <iostream>
#include <iterator>

#include <Poco/URI.h>
#include <Poco/UUIDGenerator.h>
#include <cxxopts.hpp>

#include "load/load_report.h"
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

constexpr std::string_view usage_text = R"(
Commands:
  status                         this proxy, its services, members, pools
  settings get TEAM              the settings in force on this proxy
  settings set TEAM FILE         change it (FILE: JSON with comments)
  settings withdraw TEAM         withdraw the team's settings
  settings history TEAM          earlier versions of the settings
  settings diff TEAM FILE        what `set` would change
  drain                          shut this proxy down gracefully
  move SERVICE MEMBER            planned move of a primary
  explain [SERVICE|TEAM|ID]      decisions and their causes
  report FILE...                 late and refused statements, from proxies' logs
Exit: 0 done, 1 refused, 2 bad usage, 3 not known whether it took effect.
)";

struct command_context
{
    http_connection connection_;
    bool json_ = false;
    std::int64_t expected_version_ = -1;
    std::string change_id_;
};

using arguments = std::vector<std::string>;

int print_response(const result<http_answer>& answer, bool quiet = false)
{
    if (!answer)
    {
        std::cerr << name_of(answer.error().code_) << ": "
                  << answer.error().detail_ << "\n";
        return answer.error().code_ == error_code::not_sent ? exit_refused
                                                            : exit_unknown;
    }
    constexpr int first_error_status = 400;
    bool succeeded = answer->status_ < first_error_status;
    if (!quiet || !succeeded)
        (succeeded ? std::cout : std::cerr) << answer->body_ << "\n";
    bool outcome_unknown =
        answer->body_.find(R"("outcome":"unknown")") != std::string::npos;
    return succeeded ? exit_ok : outcome_unknown ? exit_unknown : exit_refused;
}

void print_status(const nlohmann::json& status)
{
    std::cout << "proxy " << status["name"].get<std::string>() << " in "
              << status["data_centre"].get<std::string>()
              << (status["ready"].get<bool>() ? ", ready" : ", not ready")
              << (status["draining"].get<bool>() ? ", draining" : "")
              << "; settings received " << status["settings_age_ms"]
              << " ms ago; in flight " << status["in_flight"] << "\n";
    for (const auto& peer : status["peers"])
        std::cout << "  peer " << peer["name"].get<std::string>() << " "
                  << peer["address"].get<std::string>() << " state "
                  << peer["state"] << "\n";
    for (const auto& [service, homes] : status["homes"].items())
        std::cout << "  service " << service << " homes " << homes.dump()
                  << "\n";
    for (const auto& [service, current] : status["services"].items())
    {
        std::cout << "  home of " << service << ", seat "
                  << current["seat"].get<std::string>() << "\n";
        std::size_t i = 0;
        for (const auto& member : current["members"])
        {
            const auto& pool = current["pools"][i++];
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

int run_status(command_context& context)
{
    auto answer =
        context.connection_.exchange("GET", "/admin/status", "", timeout_ms);
    auto body = answer ? parse_json(answer->body_)
                       : result<nlohmann::json>(tl::unexpected(answer.error()));
    if (context.json_ || !body || !body->contains("peers"))
        return print_response(answer);
    print_status(*body);
    return exit_ok;
}

result<team_settings> read_settings_file(const std::string& path)
{
    std::ifstream in(path);
    if (!in)
        return fail(error_code::not_found, path + ": cannot be read");
    std::string text{std::istreambuf_iterator<char>(in), {}};
    constexpr bool comments = true;
    return decode_text<team_settings>(text, comments);
}

int change_settings(command_context& context, const std::string& team,
                    const char* method, const nlohmann::json& plan)
{
    std::string id = context.change_id_;
    if (id.empty())
        id = Poco::UUIDGenerator::defaultGenerator().createRandom().toString();
    nlohmann::json body{{"expected_version", context.expected_version_},
                        {"change_id", id}};
    if (!plan.is_null())
        body["plan"] = plan;
    int code = print_response(context.connection_.exchange(
        method, "/admin/settings/" + team, body.dump(), timeout_ms));
    if (code == exit_unknown)
        std::cerr << "outcome unknown; repeat with --change-id " << id
                  << " to find out\n";
    return code;
}

int print_settings_diff(command_context& context, const std::string& team,
                        const team_settings& plan)
{
    auto answer = context.connection_.exchange("GET", "/admin/settings/" + team,
                                               "", timeout_ms);
    if (!answer)
        return print_response(answer);
    auto current = decode_text<settings_branch>(answer->body_);
    nlohmann::json from =
        current ? encode(current->plan_) : nlohmann::json::object();
    auto patch = nlohmann::json::diff(from, encode(plan));
    if (context.json_)
        std::cout << patch.dump() << "\n";
    for (const auto& step : patch)
    {
        if (!context.json_)
            std::cout << step["op"].get<std::string>() << " "
                      << step["path"].get<std::string>() << " "
                      << (step.contains("value") ? step["value"].dump() : "")
                      << "\n";
    }
    return exit_ok;
}

int run_settings(command_context& context, const arguments& given)
{
    if (given.size() < 3)
        return exit_usage;
    const auto& verb = given[1];
    const auto& team = given[2];
    std::string path = "/admin/settings/" + team;
    if (verb == "get")
        return print_response(
            context.connection_.exchange("GET", path, "", timeout_ms));
    if (verb == "history")
        return print_response(context.connection_.exchange(
            "GET", path + "/history", "", timeout_ms));
    if (verb == "withdraw")
        return change_settings(context, team, "DELETE", nullptr);
    if ((verb != "set" && verb != "diff") || given.size() < 4)
        return exit_usage;
    auto plan = read_settings_file(given[3]);
    if (!plan)
    {
        std::cerr << name_of(plan.error().code_) << ": " << plan.error().detail_
                  << "\n";
        return exit_usage;
    }
    return verb == "set" ? change_settings(context, team, "PUT", encode(*plan))
                         : print_settings_diff(context, team, *plan);
}

int run_explain(command_context& context, const arguments& given)
{
    Poco::URI uri("/admin/decisions");
    if (given.size() > 1)
        uri.addQueryParameter("about", given[1]);
    auto answer = context.connection_.exchange("GET", uri.getPathAndQuery(), "",
                                               timeout_ms);
    auto body = answer ? parse_json(answer->body_)
                       : result<nlohmann::json>(tl::unexpected(answer.error()));
    if (context.json_ || !body || !body->is_array())
        return print_response(answer);
    for (const auto& decision : *body)
        std::cout << decision["time"].get<std::string>() << " "
                  << decision["what"].get<std::string>() << " of "
                  << decision["subject"].get<std::string>()
                  << ", term or version " << decision["term_or_version"]
                  << ", by " << decision["correlation"].get<std::string>()
                  << ": " << decision["cause"].get<std::string>() << "\n";
    return exit_ok;
}

int run_report(const command_context& context, const arguments& given)
{
    if (given.size() < 2)
        return exit_usage;
    load_report report({});
    std::int64_t unreadable = 0;
    for (std::size_t i = 1; i < given.size(); ++i)
    {
        std::ifstream in(given[i]);
        if (!in)
        {
            std::cerr << "not_found: " << given[i] << ": cannot be read\n";
            return exit_usage;
        }
        for (std::string line; std::getline(in, line);)
        {
            auto added = report.add_line(line);
            if (!added && added.error().code_ != error_code::not_found)
                ++unreadable;
        }
    }
    if (context.json_)
        std::cout << report.to_json().dump() << "\n";
    else
        report.write(std::cout);
    if (unreadable > 0)
        std::cerr << unreadable << " load events could not be read\n";
    return unreadable > 0 ? exit_refused : exit_ok;
}

int run_command(command_context& context, const arguments& given)
{
    if (given.empty())
        return exit_usage;
    if (given[0] == "report")
        return run_report(context, given);
    if (given[0] == "status")
        return run_status(context);
    if (given[0] == "settings")
        return run_settings(context, given);
    if (given[0] == "explain")
        return run_explain(context, given);
    if (given[0] == "drain")
        return print_response(context.connection_.exchange(
            "POST", "/admin/drain", "{}", timeout_ms));
    if (given[0] == "move" && given.size() == 3)
        return print_response(context.connection_.exchange(
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
        "expect", "version that the change must replace",
        cxxopts::value<std::int64_t>()->default_value("-1"))(
        "change-id", "id of the change to repeat",
        cxxopts::value<std::string>()->default_value(""))(
        "words", "", cxxopts::value<std::vector<std::string>>())("help",
                                                                 "help");
    options.parse_positional({"words"});
    options.positional_help("COMMAND ...");
    try
    {
        auto given = options.parse(argc, argv);
        tanagerspan::arguments arguments;
        if (given.count("words") > 0)
            arguments = given["words"].as<std::vector<std::string>>();
        if (given.count("help") > 0)
        {
            std::cout << options.help() << tanagerspan::usage_text;
            return 0;
        }
        tanagerspan::command_context context{
            .connection_ =
                tanagerspan::http_connection(given["proxy"].as<std::string>()),
            .json_ = given.count("json") > 0,
            .expected_version_ = given["expect"].as<std::int64_t>(),
            .change_id_ = given["change-id"].as<std::string>()};
        int code = tanagerspan::run_command(context, arguments);
        if (code == tanagerspan::exit_usage)
            std::cerr << "bad usage; see --help\n";
        return code;
    }
    catch (const std::exception& error)
    {
        std::cerr << error.what() << "\n";
        return tanagerspan::exit_usage;
    }
}
