#include "node/proxy_node.h"

#include <atomic>
#include <chrono>
#include <thread>

#include "node/operator_api.h"
#include "transport/json_log.h"
#include "transport/monotonic_clock.h"

namespace tanagerspan
{
namespace
{

constexpr std::int64_t drain_poll_ms = 10;

void sleep_ms(std::int64_t ms)
{
    std::this_thread::sleep_for(std::chrono::milliseconds(ms));
}

} // namespace

struct proxy_node::impl
{
    explicit impl(proxy_settings settings)
        : settings_(std::move(settings)),
          control_(settings_, peer_client_, journal_),
          request_handler_(settings_, control_, peer_client_, journal_),
          operator_api_(settings_, control_, request_handler_, peer_client_,
                        journal_,
                        [this]
                        {
                            draining_ = true;
                        }),
          caller_listener_({.address_ = settings_.callers_address_,
                            .max_connections_ = static_cast<int>(
                                settings_.max_caller_connections_)},
                           [this](const http_request& request)
                           {
                               return handle_request(request);
                           }),
          peer_listener_(settings_.peers_address_,
                         static_cast<int>(settings_.max_peer_connections_),
                         [this](const peer_frame& frame)
                         {
                             return handle_peer_frame(frame);
                         })
    {
    }

    http_answer handle_request(const http_request& request)
    {
        if (operator_api::handles(request.path_))
            return operator_api_.handle(request);
        if (request.method_ != "POST")
            return to_http({error_code::not_found, "POST is expected"},
                           outcome::not_run);
        return request_handler_.handle(request.path_, request.body_, false);
    }

    peer_frame handle_peer_frame(const peer_frame& frame)
    {
        if (frame.type_ == frame_type::gossip)
            return {.type_ = frame_type::gossip_reply,
                    .body_ = control_.on_gossip(frame.body_)};
        auto request = decode<forward_request>(frame.body_);
        http_answer answer =
            request
                ? request_handler_.handle(request->path_, request->body_, true)
                : to_http(request.error(), outcome::not_run);
        return {.type_ = frame_type::forward_reply,
                .body_ = encode(
                    forward_answer{answer.status_, std::move(answer.body_)})};
    }

    proxy_settings settings_;
    peer_client peer_client_;
    decision_journal journal_;
    control_loop control_;
    request_handler request_handler_;
    std::atomic<bool> draining_{false};
    operator_api operator_api_;
    http_listener caller_listener_;
    peer_listener peer_listener_;
};

proxy_node::proxy_node(proxy_settings settings)
    : impl_(std::make_unique<impl>(std::move(settings)))
{
}

proxy_node::~proxy_node() = default;

result<void> proxy_node::start()
{
    impl_->control_.start();
    if (auto started = impl_->peer_listener_.start(); !started)
        return started;
    if (auto started = impl_->caller_listener_.start(); !started)
        return started;
    log_line(log_level::info, "started",
             {{"callers", impl_->settings_.callers_address_},
              {"peers", impl_->settings_.peers_address_},
              {"data_centre", impl_->settings_.data_centre_}});
    return {};
}

void proxy_node::drain()
{
    impl_->draining_ = true;
}

bool proxy_node::draining() const
{
    return impl_->draining_;
}

bool proxy_node::wait_for_drain()
{
    auto& node = *impl_;
    while (!node.draining_)
        sleep_ms(drain_poll_ms);
    node.operator_api_.set_draining();
    node.control_.call(
        [&](instant)
        {
            node.control_.peers().start_draining();
        });
    node.journal_.add({.what_ = "drain",
                       .subject_ = node.settings_.name_,
                       .cause_ = "ordered",
                       .correlation_ = {}});
    sleep_ms(node.settings_.drain_notice_ms_);
    node.request_handler_.refuse_new_work();
    instant deadline = monotonic_now() + node.settings_.drain_bound_ms_;
    auto busy = [&node]
    {
        return node.request_handler_.counters().in_flight_ > 0 ||
               node.request_handler_.open_transactions() > 0;
    };
    while (busy() && monotonic_now() < deadline)
        sleep_ms(drain_poll_ms);
    bool clean = !busy();
    log_line(log_level::info, "drained", {{"clean", clean}});
    // Leaves time to write the last answers to the callers' sockets.
    constexpr std::int64_t last_answers_ms = 100;
    sleep_ms(last_answers_ms);
    return clean;
}

} // namespace tanagerspan
