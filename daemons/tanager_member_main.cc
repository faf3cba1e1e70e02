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

constexpr std::int64_t pull_hold_ms = 100;
constexpr std::int64_t pull_timeout_ms = 400;
constexpr std::int64_t pull_pause_ms = 20;
constexpr std::size_t pull_entries = 2000;

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
struct fault_order
{
    std::string kind_;
    std::int64_t value_ = 0;
};

constexpr auto fields_of(const fault_order*)
{
    return std::tuple{field{"kind", &fault_order::kind_, {.required_ = true}},
                      field{"value", &fault_order::value_}};
}

http_answer ok(const nlohmann::json& body)
{
    return {200, body.dump()};
}

http_answer refuse(const failure& cause)
{
    return {409, encode(failure_record{std::string(name_of(cause.code_)),
                                       cause.detail_})
                     .dump()};
}

template <class T>
http_answer answer_of(const result<T>& got)
{
    return got ? ok(encode(*got)) : refuse(got.error());
}

class member_server
{
public:
    explicit member_server(member_options opts)
        : options_(std::move(opts)), lag_ms_(options_.lag_ms_)
    {
    }

    void follow();
    void apply_lagging();
    http_answer serve(const http_request& request);

private:
    http_answer dispatch(const http_request& request);
    http_answer status(const std::string& body);
    http_answer read(const std::string& body);
    http_answer pull(const std::string& body);
    http_answer transaction(const std::string& path, const std::string& body);
    http_answer fault(const std::string& body);
    http_answer with_slot(const http_request& request);
    void wait_cut_off(const http_request& request);

    // Waits on `changed_` until `holds` returns true, at most `ms`
    // milliseconds.
    template <class Holds>
    void wait_until(std::unique_lock<std::mutex>& lock, std::int64_t ms,
                    Holds holds)
    {
        changed_.wait_for(lock, std::chrono::milliseconds(ms), holds);
    }

    member_options options_;
    std::mutex mutex_;
    std::condition_variable changed_;
    member_state state_;
    replication_queue queue_;
    std::int64_t running_ = 0;
    std::map<std::string, std::int64_t> running_by_seat_;
    std::map<std::string, instant> first_seen_;
    std::atomic<std::int64_t> lag_ms_;
    std::atomic<std::int64_t> cut_callers_until_{0};
    std::atomic<std::int64_t> cut_peers_until_{0};
    std::atomic<std::int64_t> frozen_until_{0};
    std::atomic<std::int64_t> silent_since_{never.ms_};
};

http_answer member_server::serve(const http_request& request)
{
    if (request.path_ == "/fault")
        return fault(request.body_);
    wait_cut_off(request);
    const auto& path = request.path_;
    if (path == "/v1/execute" || path == "/v1/read" ||
        path == "/v1/transaction")
        return with_slot(request);
    return dispatch(request);
}

// Delays a request: by the set-up time if its connection is new, by 30 s if the
// connection is silenced (as when a middlebox between the two ends dropped its
// state), and until the end of a cut or freeze that applies to it.
void member_server::wait_cut_off(const http_request& request)
{
    bool is_new = false;
    instant seen;
    {
        std::lock_guard lock(mutex_);
        auto [at, added] =
            first_seen_.try_emplace(request.peer_, monotonic_now());
        is_new = added;
        seen = at->second;
    }
    if (is_new && options_.setup_ms_ > 0)
        std::this_thread::sleep_for(
            std::chrono::milliseconds(options_.setup_ms_));
    constexpr std::int64_t silent_ms = 30'000;
    if (seen.ms_ < silent_since_)
        std::this_thread::sleep_for(std::chrono::milliseconds(silent_ms));
    const auto& until =
        request.path_ == "/v1/pull" ? cut_peers_until_ : cut_callers_until_;
    std::int64_t left =
        std::max(until.load(), frozen_until_.load()) - monotonic_now().ms_;
    if (left > 0)
        std::this_thread::sleep_for(std::chrono::milliseconds(left));
}

http_answer member_server::with_slot(const http_request& request)
{
    std::int64_t share = options_.slots_;
    auto slash = request.seat_.find('/');
    if (slash != std::string::npos)
        share = seat_share(options_.slots_, std::atoll(request.seat_.c_str()),
                           std::atoll(request.seat_.c_str() + slash + 1));
    {
        std::lock_guard lock(mutex_);
        auto& of_seat = running_by_seat_[request.seat_];
        if (of_seat >= share || running_ >= options_.slots_)
            return refuse({error_code::no_slot, "seat " + request.seat_});
        ++of_seat;
        ++running_;
    }
    if (options_.service_us_ > 0)
        std::this_thread::sleep_for(
            std::chrono::microseconds(options_.service_us_));
    auto answer = dispatch(request);
    std::lock_guard lock(mutex_);
    --running_by_seat_[request.seat_];
    --running_;
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
            return refuse(order.error());
        std::lock_guard lock(mutex_);
        auto got = path == "/v1/lead" ? state_.lead(*order, monotonic_now())
                                      : state_.promise(*order, monotonic_now());
        changed_.notify_all();
        return ok(encode(got));
    }
    if (path == "/v1/hold")
    {
        auto order = decode_text<status_request>(body);
        if (!order)
            return refuse(order.error());
        std::lock_guard lock(mutex_);
        return ok(encode(state_.hold(order->known_promised_, order->wait_ms_,
                                     monotonic_now())));
    }
    if (path == "/v1/execute")
    {
        auto order = decode_text<execute_request>(body);
        if (!order)
            return refuse(order.error());
        std::lock_guard lock(mutex_);
        auto got = state_.execute(*order, monotonic_now());
        changed_.notify_all();
        return answer_of(got);
    }
    return transaction(path, body);
}

http_answer member_server::transaction(const std::string& path,
                                       const std::string& body)
{
    auto order = decode_text<endpoint_transaction>(body);
    if (!order)
        return refuse(order.error());
    std::lock_guard lock(mutex_);
    instant now = monotonic_now();
    if (path == "/v1/begin")
    {
        auto handle = state_.begin(order->term_, now);
        if (!handle)
            return refuse(handle.error());
        return ok(encode(
            endpoint_transaction{.term_ = order->term_, .handle_ = *handle}));
    }
    if (path == "/v1/transaction")
        return answer_of(
            state_.run_in(order->handle_, order->operations_, now));
    if (path == "/v1/commit")
    {
        auto got = state_.commit(order->handle_, order->request_id_, now);
        changed_.notify_all();
        return answer_of(got);
    }
    if (path == "/v1/rollback")
    {
        state_.rollback(order->handle_);
        return ok(encode(endpoint_transaction{}));
    }
    return refuse({error_code::malformed, "no such path: " + path});
}

http_answer member_server::status(const std::string& body)
{
    auto request = decode_text<status_request>(body);
    if (!request)
        return refuse(request.error());
    std::unique_lock lock(mutex_);
    wait_until(lock, request->wait_ms_,
               [&]
               {
                   auto held = state_.status(monotonic_now());
                   return held.position_ != request->known_ ||
                          held.promised_ != request->known_promised_;
               });
    return ok(encode(state_.status(monotonic_now())));
}

http_answer member_server::read(const std::string& body)
{
    auto request = decode_text<read_request>(body);
    if (!request)
        return refuse(request.error());
    std::unique_lock lock(mutex_);
    wait_until(lock, request->wait_ms_,
               [&]
               {
                   return state_.position() >= request->at_least_;
               });
    return answer_of(state_.read(request->operations_));
}

http_answer member_server::pull(const std::string& body)
{
    auto request = decode_text<pull_request>(body);
    if (!request)
        return refuse(request.error());
    std::unique_lock lock(mutex_);
    wait_until(lock, pull_hold_ms,
               [&]
               {
                   return !state_.leading() ||
                          state_.log().size() != request->index_;
               });
    return answer_of(state_.serve_pull(*request, pull_entries));
}

http_answer member_server::fault(const std::string& body)
{
    auto order = decode_text<fault_order>(body);
    if (!order)
        return refuse(order.error());
    std::int64_t until = monotonic_now().ms_ + order->value_;
    if (order->kind_ == "kill")
        std::_Exit(0);
    if (order->kind_ == "cut_callers")
        cut_callers_until_ = until;
    else if (order->kind_ == "cut_peers")
        cut_peers_until_ = until;
    else if (order->kind_ == "freeze")
        frozen_until_ = until;
    else if (order->kind_ == "silence")
        silent_since_ = monotonic_now().ms_;
    else if (order->kind_ == "lag")
        lag_ms_ = order->value_;
    else if (order->kind_ == "leaving")
    {
        std::lock_guard lock(mutex_);
        state_.set_leaving(order->value_ != 0);
    }
    else
        return refuse({error_code::malformed, "no such fault"});
    return ok({{"done", true}});
}

// Pulls log entries from the other members in turn until one of them responds
// as the primary, then keeps pulling from that one.
void member_server::follow()
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
        bool cut = std::max(cut_peers_until_.load(), frozen_until_.load()) >
                   monotonic_now().ms_;
        auto got = pulls && !cut
                       ? call_endpoint<pull_answer>(*peers[at], "/v1/pull", ask,
                                                    pull_timeout_ms)
                       : fail(error_code::not_sent);
        if (got)
        {
            std::lock_guard lock(mutex_);
            queue_.on_answer(state_, ask, *got, lag_ms_, monotonic_now());
            changed_.notify_all();
            continue;
        }
        at = (at + 1) % peers.size();
        std::this_thread::sleep_for(std::chrono::milliseconds(pull_pause_ms));
    }
}

void member_server::apply_lagging()
{
    std::unique_lock lock(mutex_);
    while (true)
    {
        if (queue_.apply_due(state_, monotonic_now()))
            changed_.notify_all();
        instant due = queue_.next_due();
        constexpr std::int64_t longest_ms = 1000;
        std::int64_t wait_ms =
            due == never ? longest_ms
                         : std::max<std::int64_t>(due - monotonic_now(), 0);
        changed_.wait_for(lock, std::chrono::milliseconds(wait_ms));
    }
}

} // namespace
} // namespace tanagerspan

int main(int argc, char** argv)
{
    cxxopts::Options options("tanager_member",
                             "A stand-in for a member of a database group.");
    options.add_options()("address", "IP:PORT", cxxopts::value<std::string>())(
        "peers", "the other members' IP:PORT, with commas",
        cxxopts::value<std::vector<std::string>>()->default_value(""))(
        "slots", "statements run at once",
        cxxopts::value<std::int64_t>()->default_value("5"))(
        "connections", "connections taken",
        cxxopts::value<int>()->default_value("35"))(
        "setup-ms", "time that a new connection takes",
        cxxopts::value<std::int64_t>()->default_value("0"))(
        "lag-ms", "replication lag",
        cxxopts::value<std::int64_t>()->default_value("50"))(
        "service-us", "time that a statement takes",
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
                return server.serve(request);
            });
        if (auto started = listener.start(); !started)
        {
            std::cerr << started.error().detail_ << "\n";
            return 1;
        }
        std::thread applies(
            [&]
            {
                server.apply_lagging();
            });
        server.follow();
        applies.join();
        return 0;
    }
    catch (const std::exception& bad)
    {
        std::cerr << bad.what() << "\n";
        return 2;
    }
}
