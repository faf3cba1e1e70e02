#include "node/request_handler.h"

#include <algorithm>

#include "node/statement_driver.h"
#include "transport/endpoint_client.h"
#include "transport/json_log.h"

namespace tanagerspan
{
namespace
{

constexpr std::int64_t connect_timeout_ms = 500;
constexpr std::int64_t read_attempt_timeout_ms = 400;
constexpr std::int64_t write_attempt_timeout_ms = 1000;
constexpr std::int64_t forward_margin_ms = 200;
constexpr std::int64_t home_retry_pause_ms = 20;
constexpr std::string_view transactions_path = "/v1/transactions";

// Counts a request as in flight while in scope; the shutdown waits for these.
class request_in_flight
{
public:
    explicit request_in_flight(std::atomic<std::int64_t>& count) : count_(count)
    {
        ++count_;
    }
    ~request_in_flight()
    {
        --count_;
    }
    request_in_flight(const request_in_flight&) = delete;
    request_in_flight& operator=(const request_in_flight&) = delete;

private:
    std::atomic<std::int64_t>& count_;
};

bool all_reads(const std::vector<operation>& operations)
{
    return std::all_of(operations.begin(), operations.end(), is_read);
}

result<void> check_operations(const std::vector<operation>& operations)
{
    if (operations.empty())
        return fail(error_code::malformed, ".operations: empty");
    for (const auto& op : operations)
    {
        if (!is_known(op))
            return fail(error_code::malformed,
                        ".operations: found \"" + op.op_ +
                            "\", allowed: get, list, put, insert, remove, add");
    }
    return {};
}

http_answer refuse(const failure& cause)
{
    return to_http(cause, outcome::not_run);
}

std::int64_t value_or_default(std::int64_t stated, std::int64_t otherwise)
{
    return stated < 0 ? otherwise : stated;
}

bool refused_as_not_home(const http_answer& answer)
{
    constexpr int service_unavailable = 503;
    return answer.status_ == service_unavailable &&
           answer.body_.find("\"error\":\"not_home\"") != std::string::npos;
}

} // namespace

request_handler::request_handler(const proxy_settings& settings,
                                 control_loop& control, peer_client& links,
                                 decision_journal& journal)
    : settings_(settings), control_(control), links_(links), journal_(journal)
{
}

request_handler::~request_handler() = default;

http_answer request_handler::handle(const std::string& path,
                                    const std::string& body, bool forwarded)
{
    request_in_flight counted(counters_.in_flight_);
    bool starts_work = path == "/v1/statements" || path == transactions_path;
    if (starts_work && refuses_new_work_)
        return refuse({error_code::draining, "this proxy is shutting down"});
    if (starts_work && !control_.snapshot()->ready_)
        return refuse({error_code::not_ready, "no settings received yet"});
    http_answer answer = path == "/v1/statements"
                             ? statement(path, body, forwarded)
                         : path.starts_with(transactions_path)
                             ? transactions(path, body, forwarded)
                             : refuse({error_code::not_found, path});
    constexpr int first_error_status = 400;
    if (answer.status_ >= first_error_status)
    {
        bool unknown =
            answer.body_.find("\"outcome\":\"unknown\"") != std::string::npos;
        ++(unknown ? counters_.unknown_ : counters_.not_run_);
    }
    return answer;
}

result<class_settings>
request_handler::class_settings_of(const service_route& route,
                                   const std::string& work_class) const
{
    if (work_class.empty())
        return class_settings{};
    auto found = route.settings_.classes_.find(work_class);
    if (found == route.settings_.classes_.end())
        return fail(error_code::malformed,
                    ".class: found \"" + work_class +
                        "\", which the service does not have");
    return found->second;
}

http_answer request_handler::statement(const std::string& path,
                                       const std::string& body, bool forwarded)
{
    auto started_us = monotonic_us();
    auto request = decode_text<statement_request>(body);
    if (!request)
        return refuse(request.error());
    if (auto good = check_operations(request->operations_); !good)
        return refuse(good.error());
    auto token =
        session_token::from_text(request->token_, settings_.fleet_key_);
    if (!token)
        return refuse(token.error());
    auto snapshot = control_.snapshot();
    auto found = snapshot->routes_.find(request->service_);
    if (found == snapshot->routes_.end())
        return refuse({error_code::unknown_service, request->service_});
    const auto& route = found->second;
    auto rules = class_settings_of(route, request->class_);
    if (!rules)
        return refuse(rules.error());
    request->deadline_ms_ =
        value_or_default(request->deadline_ms_, rules->deadline_ms_);
    if (route.home_)
    {
        auto answer = run_at_home(route, *request, *rules, std::move(*token));
        latencies_.record(route.team_, request->class_,
                          monotonic_us() - started_us);
        return answer;
    }
    if (forwarded)
        return refuse({error_code::not_home, request->service_});
    bool repeatable =
        !request->request_id_.empty() || all_reads(request->operations_);
    return forward(route, path, encode(*request).dump(), repeatable,
                   request->deadline_ms_);
}

http_answer request_handler::run_at_home(const service_route& route,
                                         const statement_request& request,
                                         const class_settings& rules,
                                         session_token token)
{
    instant now = monotonic_now();
    instant deadline = now + request.deadline_ms_;
    auto& home = *route.home_;
    bool reads = all_reads(request.operations_);
    auto run = [&](const send_attempt& send) -> attempt_result
    {
        auto& port = *home.members_[send.member_];
        if (auto slot = port.slot_limiter_.acquire(rules.priority_, deadline);
            !slot)
            return tl::unexpected(slot.error());
        slot_guard held(port.slot_limiter_);
        instant granted_at = monotonic_now();
        std::int64_t left = std::max<std::int64_t>(deadline - granted_at, 1);
        auto connection =
            port.pool_.acquire(std::min(left, connect_timeout_ms), granted_at);
        if (!connection)
            return tl::unexpected(connection.error());
        // A repeatable attempt has a short timeout, because its connection may
        // be broken without notice. Other attempts may take all the time that
        // is left.
        std::int64_t span = left;
        if (reads)
            span = std::min(left, read_attempt_timeout_ms + send.wait_ms_);
        else if (!request.request_id_.empty())
            span = std::min(left, write_attempt_timeout_ms);
        auto response =
            reads ? call_endpoint<execute_answer>(
                        **connection, "/v1/read",
                        read_request{.at_least_ = send.at_least_,
                                     .wait_ms_ = send.wait_ms_,
                                     .operations_ = request.operations_},
                        span, home.seat_)
                  : call_endpoint<execute_answer>(
                        **connection, "/v1/execute",
                        execute_request{.term_ = send.term_,
                                        .request_id_ = request.request_id_,
                                        .operations_ = request.operations_},
                        span, home.seat_);
        port.pool_.release(std::move(*connection), monotonic_now());
        return response;
    };
    statement_answer answer;
    if (reads)
    {
        read_statement machine(
            {.started_ = now,
             .deadline_ = deadline,
             .at_least_ = token.position_at(request.service_),
             .has_token_ = !request.token_.empty(),
             .replica_reads_ = rules.replica_reads_,
             .max_age_ms_ =
                 value_or_default(request.max_age_ms_, rules.max_age_ms_),
             .seed_ = next_seed_++});
        answer = run_statement(machine, home, deadline, counters_, run);
        if (answer.outcome_ == outcome::done)
            ++counters_.reads_;
        if (answer.outcome_ == outcome::done && answer.by_replica_)
            ++counters_.replica_reads_;
    }
    else
    {
        write_statement machine(
            {.deadline_ = deadline,
             .has_request_id_ = !request.request_id_.empty()});
        answer = run_statement(machine, home, deadline, counters_, run);
        if (answer.outcome_ == outcome::done)
            ++counters_.writes_;
    }
    if (answer.outcome_ != outcome::done || answer.attempts_ > 1)
        journal_.add({.what_ = answer.outcome_ == outcome::done
                                   ? "retried"
                                   : std::string(name_of(answer.outcome_)),
                      .subject_ = request.service_,
                      .cause_ = std::string(name_of(answer.failure_.code_)) +
                                " " + answer.failure_.detail_,
                      .term_or_version_ = answer.position_.term_,
                      .correlation_ = request.request_id_});
    if (answer.outcome_ == outcome::done)
        token.observe(request.service_, answer.position_);
    return to_http(answer, token.to_text(settings_.fleet_key_));
}

// Tries the service's homes in order. After a home may have executed the
// request, only a repeatable request is sent to another one.
http_answer request_handler::forward(const service_route& route,
                                     const std::string& path,
                                     const std::string& body, bool repeatable,
                                     std::int64_t deadline_ms)
{
    ++counters_.forwarded_;
    instant deadline = monotonic_now() + deadline_ms;
    bool may_have_effect = false;
    failure cause{error_code::no_primary, "no home proxy is known"};
    for (std::size_t attempt = 0; monotonic_now() < deadline; ++attempt)
    {
        auto snapshot = control_.snapshot();
        auto found = snapshot->routes_.find(route.service_);
        if (found == snapshot->routes_.end() ||
            found->second.home_addresses_.empty())
            break;
        const auto& homes = found->second.home_addresses_;
        const auto& address = homes[attempt % homes.size()];
        if (!address.empty())
        {
            std::int64_t left = deadline - monotonic_now();
            auto answer = forward_to(address, path, body,
                                     left + forward_margin_ms, cause);
            if (answer.status_ != 0 && !refused_as_not_home(answer))
                return answer;
            bool may_have_run =
                answer.status_ == 0 && cause.code_ != error_code::not_sent;
            may_have_effect = may_have_effect || may_have_run;
            if (may_have_run && !repeatable)
                return to_http(cause, outcome::unknown);
        }
        if (attempt + 1 >= homes.size())
            std::this_thread::sleep_for(
                std::chrono::milliseconds(home_retry_pause_ms));
    }
    return to_http(cause,
                   may_have_effect ? outcome::unknown : outcome::not_run);
}

http_answer request_handler::forward_to(const std::string& address,
                                        const std::string& path,
                                        const std::string& body,
                                        std::int64_t timeout_ms, failure& cause)
{
    auto response =
        links_.exchange(address, frame_type::forward,
                        encode(forward_request{path, body}), timeout_ms);
    if (!response)
    {
        cause = response.error();
        return {0, ""};
    }
    auto answer = decode<forward_answer>(*response);
    if (!answer)
    {
        cause = {error_code::lost, answer.error().detail_};
        return {0, ""};
    }
    return {static_cast<int>(answer->status_), std::move(answer->body_)};
}

} // namespace tanagerspan
