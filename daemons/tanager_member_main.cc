// Stand-in process for one member of a database group: member_state over HTTP,
// with replication from the primary, a replication lag, slots shared out by
// seat, and a connection limit. Requests to /fault inject failures.
// docs/STAND-INS.md specifies it.

#include <atomic>
#include <condition_variable>
#include <iostream>
#include <mutex>
#include <set>
#include <thread>

#include <cxxopts.hpp>

#include "coordination/home_ranking.h"
#include "protocol/transaction_messages.h"
#include "stand_ins/replication_queue.h"
#include "transport/endpoint_client.h"
#include "transport/http_listener.h"
#include "transport/monotonic_clock.h"

namespace tanagerspan
{
namespace
{

constexpr std::int64_t pull_wait_ms = 100;
constexpr std::int64_t pull_timeout_ms = 400;
constexpr std::int64_t pull_retry_pause_ms = 20;
constexpr std::size_t max_pull_entries = 2000;

struct member_options
{
    std::string address_{};
    std::vector<std::string> peers_{};
    std::int64_t slots_ = 5;
    int connections_ = 35;
    std::int64_t setup_ms_ = 0;
    std::int64_t lag_ms_ = 50;
    std::int64_t service_us_ = 0;
};

/// Request body of /fault. The meaning of `value_` depends on the kind: a
/// duration or a lag in milliseconds, or 0 and 1 for `leaving`.
struct fault_request
{
    std::string kind_;
    std::int64_t value_ = 0;
};

constexpr auto fields_of(const fault_request*)
{
    return std::tuple{field{"kind", &fault_request::kind_, {.required_ = true}},
                      field{"value", &fault_request::value_}};
}

http_answer ok_response(const nlohmann::json& body)
{
    return {200, body.dump()};
}

http_answer error_response(const failure& cause)
{
    return {409, encode(failure_record{std::string(name_of(cause.code_)),
                                       cause.detail_})
                     .dump()};
}

template <class T>
http_answer response_of(const result<T>& got)
{
    return got ? ok_response(encode(*got)) : error_response(got.error());
}

class member_server
{
public:
    explicit member_server(member_options opts)
        : options_(std::move(opts)), lag_ms_(options_.lag_ms_)
    {
    }

    void pull_from_primary();
    void apply_received_entries();
    http_answer handle_request(const http_request& request);

private:
    http_answer dispatch(const http_request& request);
    http_answer status(const std::string& body);
    http_answer read(const std::string& body);
    http_answer pull(const std::string& body);
    http_answer transaction(const std::string& path, const std::string& body);
    http_answer inject_fault(const std::string& body);
    http_answer serve_with_slot(const http_request& request);
    void apply_delay_faults(const http_request& request);

    // Waits on `state_changed_` until `predicate` returns true, at most `ms`
    // milliseconds.
    template <class Predicate>
    void wait_until(std::unique_lock<std::mutex>& lock, std::int64_t ms,
                    Predicate predicate)
    {
        state_changed_.wait_for(lock, std::chrono::milliseconds(ms), predicate);
    }

    member_options options_;
    std::mutex mutex_;
    std::condition_variable state_changed_;
    member_state state_;
    replication_queue queue_;
    std::int64_t running_statements_ = 0;
    std::map<std::string, std::int64_t> running_statements_by_seat_;
    std::map<std::string, instant> connected_at_;
    std::atomic<std::int64_t> lag_ms_;
    std::atomic<std::int64_t> cut_callers_until_ms_{0};
    std::atomic<std::int64_t> cut_peers_until_ms_{0};
    std::atomic<std::int64_t> frozen_until_ms_{0};
    std::atomic<std::int64_t> silenced_at_ms_{never.ms_};
};

http_answer member_server::handle_request(const http_request& request)
{
    if (request.path_ == "/fault")
        return inject_fault(request.body_);
    apply_delay_faults(request);
    const auto& path = request.path_;
    if (path == "/v1/execute" || path == "/v1/read" ||
        path == "/v1/transaction")
        return serve_with_slot(request);
    return dispatch(request);
}

// Delays a request: by the set-up time if its connection is new, by 30 s if the
// connection is silenced (as when a middlebox between the two ends dropped its
// state), and until the end of a cut or freeze that applies to it.
void member_server::apply_delay_faults(const http_request& request)
{
    bool is_new_connection = false;
    instant connected_at;
    {
        std::lock_guard lock(mutex_);
        auto [at, added] =
            connected_at_.try_emplace(request.peer_, monotonic_now());
        is_new_connection = added;
        connected_at = at->second;
    }
    if (is_new_connection && options_.setup_ms_ > 0)
        std::this_thread::sleep_for(
            std::chrono::milliseconds(options_.setup_ms_));
    constexpr std::int64_t silenced_delay_ms = 30'000;
    if (connected_at.ms_ < silenced_at_ms_)
        std::this_thread::sleep_for(
            std::chrono::milliseconds(silenced_delay_ms));
    const auto& until = request.path_ == "/v1/pull" ? cut_peers_until_ms_
                                                    : cut_callers_until_ms_;
    std::int64_t left =
        std::max(until.load(), frozen_until_ms_.load()) - monotonic_now().ms_;
    if (left > 0)
        std::this_thread::sleep_for(std::chrono::milliseconds(left));
}

http_answer member_server::serve_with_slot(const http_request& request)
{
    std::int64_t share = options_.slots_;
    auto slash = request.seat_.find('/');
    if (slash != std::string::npos)
        share = seat_share(options_.slots_, std::atoll(request.seat_.c_str()),
                           std::atoll(request.seat_.c_str() + slash + 1));
    {
        std::lock_guard lock(mutex_);
        auto& running_of_seat = running_statements_by_seat_[request.seat_];
        if (running_of_seat >= share || running_statements_ >= options_.slots_)
            return error_response(
                {error_code::no_slot, "seat " + request.seat_});
        ++running_of_seat;
        ++running_statements_;
    }
    if (options_.service_us_ > 0)
        std::this_thread::sleep_for(
            std::chrono::microseconds(options_.service_us_));
    auto answer = dispatch(request);
    std::lock_guard lock(mutex_);
    --running_statements_by_seat_[request.seat_];
    --running_statements_;
    return answer;
}

http_answer member_server::dispatch(const http_request& request)
{
    const auto& path = request.path_;
    const auto& body = request.body_;
    if (path == "/v1/status")
        return status(body);
    if (path == "/v1/read")
        return read(body);
    if (path == "/v1/pull")
        return pull(body);
    if (path == "/v1/promise" || path == "/v1/lead")
    {
        auto order = decode_text<term_order>(body);
        if (!order)
            return error_response(order.error());
        std::lock_guard lock(mutex_);
        auto got = path == "/v1/lead" ? state_.lead(*order, monotonic_now())
                                      : state_.promise(*order, monotonic_now());
        state_changed_.notify_all();
        return ok_response(encode(got));
    }
    if (path == "/v1/hold")
    {
        auto order = decode_text<status_request>(body);
        if (!order)
            return error_response(order.error());
        std::lock_guard lock(mutex_);
        return ok_response(encode(state_.hold(
            order->known_promised_, order->wait_ms_, monotonic_now())));
    }
    if (path == "/v1/execute")
    {
        auto order = decode_text<execute_request>(body);
        if (!order)
            return error_response(order.error());
        std::lock_guard lock(mutex_);
        auto got = state_.execute(*order, monotonic_now());
        state_changed_.notify_all();
        return response_of(got);
    }
    return transaction(path, body);
}

http_answer member_server::transaction(const std::string& path,
                                       const std::string& body)
{
    auto order = decode_text<endpoint_transaction>(body);
    if (!order)
        return error_response(order.error());
    std::lock_guard lock(mutex_);
    instant now = monotonic_now();
    if (path == "/v1/begin")
    {
        auto handle = state_.begin(order->term_, now);
        if (!handle)
            return error_response(handle.error());
        return ok_response(encode(
            endpoint_transaction{.term_ = order->term_, .handle_ = *handle}));
    }
    if (path == "/v1/transaction")
        return response_of(
            state_.run_in(order->handle_, order->operations_, now));
    if (path == "/v1/commit")
    {
        auto got = state_.commit(order->handle_, order->request_id_, now);
        state_changed_.notify_all();
        return response_of(got);
    }
    if (path == "/v1/rollback")
    {
        state_.rollback(order->handle_);
        return ok_response(encode(endpoint_transaction{}));
    }
    return error_response({error_code::malformed, "no such path: " + path});
}

http_answer member_server::status(const std::string& body)
{
    auto request = decode_text<status_request>(body);
    if (!request)
        return error_response(request.error());
    std::unique_lock lock(mutex_);
    wait_until(lock, request->wait_ms_,
               [&]
               {
                   auto held = state_.status(monotonic_now());
                   return held.position_ != request->known_ ||
                          held.promised_ != request->known_promised_;
               });
    return ok_response(encode(state_.status(monotonic_now())));
}

http_answer member_server::read(const std::string& body)
{
    auto request = decode_text<read_request>(body);
    if (!request)
        return error_response(request.error());
    std::unique_lock lock(mutex_);
    wait_until(lock, request->wait_ms_,
               [&]
               {
                   return state_.position() >= request->at_least_;
               });
    return response_of(state_.read(request->operations_));
}

http_answer member_server::pull(const std::string& body)
{
    auto request = decode_text<pull_request>(body);
    if (!request)
        return error_response(request.error());
    std::unique_lock lock(mutex_);
    wait_until(lock, pull_wait_ms,
               [&]
               {
                   return !state_.leading() ||
                          state_.log().size() != request->index_;
               });
    return response_of(state_.serve_pull(*request, max_pull_entries));
}

http_answer member_server::inject_fault(const std::string& body)
{
    auto order = decode_text<fault_request>(body);
    if (!order)
        return error_response(order.error());
    std::int64_t until = monotonic_now().ms_ + order->value_;
    if (order->kind_ == "kill")
        std::_Exit(0);
    if (order->kind_ == "cut_callers")
        cut_callers_until_ms_ = until;
    else if (order->kind_ == "cut_peers")
        cut_peers_until_ms_ = until;
    else if (order->kind_ == "freeze")
        frozen_until_ms_ = until;
    else if (order->kind_ == "silence")
        silenced_at_ms_ = monotonic_now().ms_;
    else if (order->kind_ == "lag")
        lag_ms_ = order->value_;
    else if (order->kind_ == "leaving")
    {
        std::lock_guard lock(mutex_);
        state_.set_leaving(order->value_ != 0);
    }
    else
        return error_response(
            {error_code::malformed, "unknown fault: " + order->kind_});
    return ok_response({{"done", true}});
}

// Pulls log entries from the other members in turn until one of them responds
// as the primary, then keeps pulling from that one.
void member_server::pull_from_primary()
{
    std::vector<std::unique_ptr<http_connection>> peers;
    for (const auto& address : options_.peers_)
        peers.push_back(std::make_unique<http_connection>(address));
    std::size_t at = 0;
    while (!peers.empty())
    {
        pull_request ask;
        bool pulls = false;
        {
            std::lock_guard lock(mutex_);
            pulls = !state_.leading();
            ask = queue_.next_pull(state_);
        }
        bool cut = std::max(cut_peers_until_ms_.load(),
                            frozen_until_ms_.load()) > monotonic_now().ms_;
        auto got = pulls && !cut
                       ? call_endpoint<pull_answer>(*peers[at], "/v1/pull", ask,
                                                    pull_timeout_ms)
                       : fail(error_code::not_sent);
        if (got)
        {
            std::lock_guard lock(mutex_);
            queue_.on_answer(state_, ask, *got, lag_ms_, monotonic_now());
            state_changed_.notify_all();
            continue;
        }
        at = (at + 1) % peers.size();
        std::this_thread::sleep_for(
            std::chrono::milliseconds(pull_retry_pause_ms));
    }
}

void member_server::apply_received_entries()
{
    std::unique_lock lock(mutex_);
    while (true)
    {
        if (queue_.apply_due(state_, monotonic_now()))
            state_changed_.notify_all();
        instant due = queue_.next_due();
        constexpr std::int64_t max_wait_ms = 1000;
        std::int64_t wait_ms =
            due == never ? max_wait_ms
                         : std::max<std::int64_t>(due - monotonic_now(), 0);
        state_changed_.wait_for(lock, std::chrono::milliseconds(wait_ms));
    }
}

} // namespace
} // namespace tanagerspan

int main(int argc, char** argv)
{
    cxxopts::Options options("tanager_member",
                             "A stand-in for a member of a database group.");
    options.add_options()("address", "IP:PORT", cxxopts::value<std::string>())(
        "peers", "IP:PORT of the other members, separated by commas",
        cxxopts::value<std::vector<std::string>>()->default_value(""))(
        "slots", "maximum number of concurrent statements",
        cxxopts::value<std::int64_t>()->default_value("5"))(
        "connections", "maximum number of connections",
        cxxopts::value<int>()->default_value("35"))(
        "setup-ms", "set-up time of a new connection, in ms",
        cxxopts::value<std::int64_t>()->default_value("0"))(
        "lag-ms", "replication lag, in ms",
        cxxopts::value<std::int64_t>()->default_value("50"))(
        "service-us", "execution time of a statement, in us",
        cxxopts::value<std::int64_t>()->default_value("0"))("help", "help");
    try
    {
        auto given = options.parse(argc, argv);
        if (given.count("help") > 0 || given.count("address") == 0)
        {
            std::cout << options.help();
            return given.count("help") > 0 ? 0 : 2;
        }
        tanagerspan::member_options opts{
            .address_ = given["address"].as<std::string>(),
            .peers_ = given["peers"].as<std::vector<std::string>>(),
            .slots_ = given["slots"].as<std::int64_t>(),
            .connections_ = given["connections"].as<int>(),
            .setup_ms_ = given["setup-ms"].as<std::int64_t>(),
            .lag_ms_ = given["lag-ms"].as<std::int64_t>(),
            .service_us_ = given["service-us"].as<std::int64_t>()};
        std::erase(opts.peers_, "");
        tanagerspan::member_server server(opts);
        tanagerspan::http_listener listener(
            {.address_ = opts.address_, .max_connections_ = opts.connections_},
            [&](const tanagerspan::http_request& request)
            {
                return server.handle_request(request);
            });
        if (auto started = listener.start(); !started)
        {
            std::cerr << started.error().detail_ << "\n";
            return 1;
        }
        std::thread apply_thread(
            [&]
            {
                server.apply_received_entries();
            });
        server.pull_from_primary();
        apply_thread.join();
        return 0;
    }
    catch (const std::exception& error)
    {
        std::cerr << error.what() << "\n";
        return 2;
    }
}
