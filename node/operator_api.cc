#include "node/operator_api.h"

#include <sstream>

#include <Poco/URI.h>

#include "coordination/settings_change.h"
#include "protocol/operator_messages.h"
#include "transport/monotonic_clock.h"
#include "transport/platform_client.h"

namespace tanagerspan
{
namespace
{

constexpr std::int64_t change_deadline_ms = 8000;
constexpr std::int64_t platform_timeout_ms = 1500;
constexpr std::int64_t read_retry_ms = 100;

http_answer refusal(const failure& cause)
{
    return to_http(cause, outcome::not_run);
}

std::string row_key(const std::string& team)
{
    return "settings/" + team;
}

// Performs the actions of a settings change on the platform until the change
// has finished.
result<settings_branch> run_settings_change(settings_change& change,
                                            platform_client& platform,
                                            const std::string& team)
{
    while (true)
    {
        auto action = change.step(monotonic_now());
        if (auto* end = std::get_if<settings_change::finish>(&action))
            return end->result_;
        if (auto* write = std::get_if<settings_change::write_row>(&action))
        {
            auto got = platform.change({.key_ = row_key(team),
                                        .expected_ = write->expected_,
                                        .value_ = encode(write->row_).dump()});
            change.on_write(got ? result<void>{}
                                : result<void>(tl::unexpected(got.error())));
            continue;
        }
        auto row = platform.find(row_key(team));
        if (row)
        {
            auto stored = decode_text<settings_row>(row->value_);
            change.on_read(stored ? result<std::optional<settings_row>>(*stored)
                                  : fail(error_code::malformed));
        }
        else if (row.error().code_ == error_code::not_found)
            change.on_read(std::optional<settings_row>{});
        else
        {
            change.on_read(tl::unexpected(row.error()));
            std::this_thread::sleep_for(
                std::chrono::milliseconds(read_retry_ms));
        }
    }
}

nlohmann::json members_json(const group_view& view, instant now)
{
    auto members = nlohmann::json::array();
    for (const auto& member : view.members_)
    {
        const auto& status = member.status_;
        members.push_back(
            {{"name", member.name_},
             {"address", member.address_},
             {"role", status.leading_ ? "primary" : "replica"},
             {"promised_term", status.promised_},
             {"position", encode(status.position_)},
             {"leaving", status.leaving_},
             {"heard_ms_ago",
              member.answered_ == never ? -1 : now - member.answered_}});
    }
    return members;
}

} // namespace

operator_api::operator_api(const proxy_settings& settings,
                           control_loop& control, request_handler& handler,
                           peer_client& client, decision_journal& journal,
                           std::function<void()> drain)
    : settings_(settings), control_(control), request_handler_(handler),
      peer_client_(client), journal_(journal), drain_(std::move(drain))
{
}

bool operator_api::handles(const std::string& path)
{
    return path == "/health" || path == "/ready" || path == "/metrics" ||
           path.starts_with("/admin/");
}

http_answer operator_api::handle(const http_request& request)
{
    const auto& path = request.path_;
    if (path == "/health")
        return {200, R"({"health":"ok"})"};
    if (path == "/ready")
        return ready();
    if (path == "/metrics")
        return metrics();
    if (path == "/admin/status")
        return status();
    if (path == "/admin/move" && request.method_ == "POST")
        return move_primary(request.body_);
    if (path == "/admin/drain" && request.method_ == "POST")
    {
        drain_();
        return {202, R"({"draining":true})"};
    }
    constexpr std::string_view settings_prefix = "/admin/settings/";
    if (path.starts_with(settings_prefix))
        return handle_settings(request, path.substr(settings_prefix.size()));
    constexpr std::string_view decisions_prefix = "/admin/decisions";
    if (path.starts_with(decisions_prefix))
    {
        std::string subject;
        for (const auto& [key, value] : Poco::URI(path).getQueryParameters())
        {
            if (key == "about")
                subject = value;
        }
        return {200, journal_.find(subject).dump()};
    }
    return refusal({error_code::not_found, path});
}

http_answer operator_api::ready()
{
    if (draining_)
        return refusal({error_code::draining, "draining"});
    if (!control_.snapshot()->ready_)
        return refusal({error_code::not_ready, "no settings received yet"});
    return {200, R"({"ready":true})"};
}

http_answer operator_api::status()
{
    nlohmann::json out{
        {"name", settings_.name_},
        {"data_centre", settings_.data_centre_},
        {"draining", draining_.load()},
        {"in_flight", request_handler_.counters().in_flight_.load()}};
    control_.call(
        [&](instant now)
        {
            auto& spread = control_.settings();
            out["settings_age_ms"] = spread.age_ms(now);
            out["ready"] = spread.ready();
            auto teams = nlohmann::json::object();
            for (const auto& [team, branch] : spread.tree().branches())
                teams[team] = {{"version", branch.version_},
                               {"withdrawn", branch.withdrawn_}};
            out["teams"] = teams;
            auto peers = nlohmann::json::array();
            for (const auto& [name, record] : control_.peers().records())
                peers.push_back(encode(record));
            out["peers"] = peers;
            auto services = nlohmann::json::object();
            for (const auto& [service, watch] : control_.watches())
            {
                auto pools = nlohmann::json::array();
                for (const auto& pool : watch->home()->members_)
                    pools.push_back(
                        {{"address", pool->address_},
                         {"connections", pool->pool_.open()},
                         {"slots_used", pool->slot_limiter_.running()},
                         {"waiting", pool->slot_limiter_.waiting()}});
                services[service] = {
                    {"seat", watch->home()->seat_},
                    {"members", members_json(watch->monitor().view(), now)},
                    {"pools", pools}};
            }
            out["services"] = services;
        });
    auto routes = nlohmann::json::object();
    for (const auto& [service, route] : control_.snapshot()->routes_)
        routes[service] = route.home_names_;
    out["homes"] = routes;
    return {200, out.dump()};
}

http_answer operator_api::metrics()
{
    std::ostringstream out;
    const auto& counters = request_handler_.counters();
    auto write_metric =
        [&](std::string_view name, std::string_view type, auto value)
    {
        out << "# TYPE tanagerspan_" << name << " " << type << "\ntanagerspan_"
            << name << " " << value << "\n";
    };
    write_metric("reads_total", "counter", counters.reads_.load());
    write_metric("replica_reads_total", "counter",
                 counters.replica_reads_.load());
    write_metric("writes_total", "counter", counters.writes_.load());
    write_metric("not_run_total", "counter", counters.not_run_.load());
    write_metric("unknown_total", "counter", counters.unknown_.load());
    write_metric("forwarded_total", "counter", counters.forwarded_.load());
    write_metric("retries_total", "counter", counters.retries_.load());
    write_metric("peer_bytes_total", "counter", peer_client_.bytes());
    write_metric("in_flight", "gauge", counters.in_flight_.load());
    write_metric("open_transactions", "gauge",
                 request_handler_.open_transactions());
    request_handler_.latencies().write_prometheus(
        out, "tanagerspan_statement_seconds");
    return {200, out.str()};
}

http_answer operator_api::move_primary(const std::string& body)
{
    auto request = decode_text<move_request>(body);
    if (!request)
        return refusal(request.error());
    result<void> moved = fail(error_code::not_home,
                              "this proxy is not a home of the service; see "
                              "/admin/status");
    control_.call(
        [&](instant now)
        {
            auto found = control_.watches().find(request->service_);
            if (found != control_.watches().end())
                moved = found->second->monitor().move_primary(request->target_,
                                                              now);
        });
    if (!moved)
        return refusal(moved.error());
    return {202, R"({"moving":true})"};
}

http_answer operator_api::handle_settings(const http_request& request,
                                          const std::string& rest)
{
    auto slash = rest.find('/');
    std::string team = rest.substr(0, slash);
    constexpr std::size_t max_team_length = 64;
    if (team.empty() || team.size() > max_team_length)
        return refusal(
            {error_code::malformed, "team name: 1 to 64 characters"});
    if (slash != std::string::npos)
        return rest.substr(slash) == "/history"
                   ? settings_history(team)
                   : refusal({error_code::not_found, rest});
    if (request.method_ == "PUT")
        return change_settings(team, request, false);
    if (request.method_ == "DELETE")
        return change_settings(team, request, true);
    std::optional<settings_branch> stored;
    control_.call(
        [&](instant)
        {
            if (const auto* branch = control_.settings().tree().find(team))
                stored = *branch;
        });
    if (!stored)
        return refusal({error_code::not_found, team});
    return {200, encode(*stored).dump()};
}

http_answer operator_api::change_settings(const std::string& team,
                                          const http_request& request,
                                          bool withdraw)
{
    auto wanted = decode_text<settings_request>(request.body_);
    if (!wanted)
        return refusal(wanted.error());
    settings_branch branch{.team_ = team,
                           .change_id_ = wanted->change_id_,
                           .withdrawn_ = withdraw,
                           .plan_ = withdraw ? team_settings{} : wanted->plan_};
    settings_change::options opts{
        .wanted_ = branch, .deadline_ = monotonic_now() + change_deadline_ms};
    if (wanted->expected_version_ >= 0)
        opts.expected_ = static_cast<std::uint64_t>(wanted->expected_version_);
    http_connection connection(settings_.platform_address_);
    platform_client platform(connection, platform_timeout_ms);
    settings_change change(std::move(opts));
    auto accepted = run_settings_change(change, platform, team);
    journal_.add({.what_ = accepted ? "settings_accepted" : "settings_refused",
                  .subject_ = team,
                  .cause_ = accepted ? (withdraw ? "withdrawn" : "set")
                                     : accepted.error().detail_,
                  .term_or_version_ = accepted ? accepted->version_ : 0,
                  .correlation_ = wanted->change_id_});
    if (!accepted)
    {
        bool outcome_unknown = accepted.error().code_ == error_code::lost;
        return to_http(accepted.error(),
                       outcome_unknown ? outcome::unknown : outcome::not_run);
    }
    control_.post(
        [branch = *accepted, this](instant now)
        {
            control_.settings().on_branches({branch}, now);
        });
    // The history is informational only: a lost entry does not affect the
    // settings in force.
    static_cast<void>(platform.put_object(
        "settings-" + team + "-" + std::to_string(accepted->version_),
        encode(*accepted).dump()));
    return {200,
            nlohmann::json{{"outcome", "done"}, {"version", accepted->version_}}
                .dump()};
}

http_answer operator_api::settings_history(const std::string& team)
{
    std::uint64_t version = 0;
    control_.call(
        [&](instant)
        {
            if (const auto* branch = control_.settings().tree().find(team))
                version = branch->version_;
        });
    if (version == 0)
        return refusal({error_code::not_found, team});
    constexpr std::uint64_t max_entries = 20;
    http_connection connection(settings_.platform_address_);
    platform_client platform(connection, platform_timeout_ms);
    auto out = nlohmann::json::array();
    std::uint64_t first = version > max_entries ? version - max_entries + 1 : 1;
    for (std::uint64_t v = first; v <= version; ++v)
    {
        auto text =
            platform.get_object("settings-" + team + "-" + std::to_string(v));
        auto parsed =
            text ? parse_json(*text)
                 : result<nlohmann::json>(tl::unexpected(text.error()));
        out.push_back(parsed
                          ? *parsed
                          : nlohmann::json{{"version", v}, {"missing", true}});
    }
    return {200, out.dump()};
}

} // namespace tanagerspan
