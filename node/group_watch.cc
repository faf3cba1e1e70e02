#include "node/group_watch.h"

#include <algorithm>

#include "coordination/home_ranking.h"
#include "transport/endpoint_client.h"
#include "transport/monotonic_clock.h"

namespace tanagerspan
{
namespace
{

constexpr std::int64_t answer_margin_ms = 300;
constexpr std::int64_t step_timeout_ms = 400;
constexpr std::size_t max_waiting_steps = 8;

group_monitor::options monitor_options(const group_watch::options& opts)
{
    group_monitor::options out{.service_ = opts.service_,
                               .members_ = {},
                               .claimant_ = opts.claimant_,
                               .seed_ = opts.seed_,
                               .probe_wait_ms_ = opts.probe_wait_ms_,
                               .probe_timeout_ms_ =
                                   opts.probe_wait_ms_ + answer_margin_ms + 100,
                               .silence_ms_ = opts.silence_ms_};
    for (const auto& [name, address] : opts.settings_.members_)
        out.members_.emplace_back(name, address);
    return out;
}

std::optional<member_status> to_optional(const result<member_status>& answer)
{
    if (!answer)
        return std::nullopt;
    return *answer;
}

} // namespace

// One executor sends the long-polling status request, the other the requests
// that must not wait behind it.
struct group_watch::member_executors
{
    explicit member_executors(const std::string& address)
        : probe_connection_(address), step_connection_(address)
    {
    }

    http_connection probe_connection_;
    http_connection step_connection_;
    serial_executor probe_executor_;
    serial_executor step_executor_;
};

group_watch::group_watch(options opts, decision_journal& journal, poster post,
                         instant now)
    : options_(std::move(opts)), journal_(journal), post_(std::move(post)),
      monitor_(monitor_options(options_), now),
      home_(std::make_shared<home_service>()),
      alive_(std::make_shared<bool>(true))
{
    auto rank = static_cast<std::int64_t>(options_.rank_);
    auto home_count = static_cast<std::int64_t>(options_.home_count_);
    const auto& settings = options_.settings_;
    home_->seat_ = std::to_string(rank) + "/" + std::to_string(home_count);
    // Two connections of each home's share are used by the watch itself.
    constexpr std::int64_t watch_connections = 2;
    constexpr std::int64_t min_connections = 1;
    auto share =
        std::max(min_connections,
                 seat_share(settings.connection_limit_, rank, home_count) -
                     watch_connections);
    for (const auto& [name, address] : settings.members_)
    {
        home_->members_.push_back(std::make_unique<member_pool>(
            connection_pool::options{.address_ = address,
                                     .max_ = static_cast<std::size_t>(share)},
            admission_queue::options{
                .slots_ = seat_share(settings.slots_, rank, home_count),
                .max_waiting_ = options_.max_waiting_}));
        executors_.push_back(std::make_unique<member_executors>(address));
    }
    monitor_.set_rank(options_.rank_);
    std::weak_ptr<bool> alive = alive_;
    home_->poll_now_ = [this, alive, post = post_]
    {
        post(
            [this, alive](instant)
            {
                if (alive.lock())
                    monitor_.refresh_view();
            });
    };
    home_->view_.publish(monitor_.view());
}

group_watch::~group_watch() = default;

void group_watch::tick(instant now)
{
    for (const auto& action : monitor_.tick(now))
        perform(action);
    if (monitor_.take_changed())
        home_->view_.publish(monitor_.view());
}

void group_watch::perform(const group_monitor::action& action)
{
    if (const auto* probe = std::get_if<group_monitor::probe>(&action))
        send_probe(*probe);
    else if (const auto* step = std::get_if<group_monitor::send_step>(&action))
        send_step(step->message_);
    else if (const auto* hold = std::get_if<group_monitor::hold>(&action))
        send_hold(*hold);
    else if (const auto* note = std::get_if<group_monitor::decision>(&action))
        journal_.add({.what_ = note->what_,
                      .subject_ = options_.service_,
                      .cause_ = note->cause_,
                      .term_or_version_ = note->term_,
                      .correlation_ = options_.claimant_});
}

void group_watch::send_probe(const group_monitor::probe& probe)
{
    bool waits = probe.request_.wait_ms_ > 0;
    auto& executors = *executors_[probe.member_];
    auto& executor =
        waits ? executors.probe_executor_ : executors.step_executor_;
    auto& connection =
        waits ? executors.probe_connection_ : executors.step_connection_;
    std::weak_ptr<bool> alive = alive_;
    executor.post(
        [this, probe, &connection, alive, post = post_]
        {
            auto answer = call_endpoint<member_status>(
                connection, "/v1/status", probe.request_,
                probe.request_.wait_ms_ + answer_margin_ms);
            post(
                [this, probe, answer = to_optional(answer), alive](instant now)
                {
                    if (alive.lock())
                        monitor_.on_status(probe.member_, probe.asked_, answer,
                                           now);
                });
        });
}

void group_watch::send_step(const promotion::message& message)
{
    auto& executors = *executors_[message.member_];
    // Bounds the orders that wait for an unresponsive member: later they would
    // all reach it at once, out of date.
    if (executors.step_executor_.waiting() > max_waiting_steps)
        return;
    std::weak_ptr<bool> alive = alive_;
    executors.step_executor_.post(
        [this, message, &connection = executors.step_connection_, alive,
         post = post_]
        {
            instant sent_at = monotonic_now();
            bool lead = message.step_ == promotion::step::lead;
            auto answer = call_endpoint<member_status>(
                connection, lead ? "/v1/lead" : "/v1/promise", message.order_,
                step_timeout_ms);
            post(
                [this, message, sent_at, answer = to_optional(answer),
                 alive](instant now)
                {
                    if (alive.lock())
                        monitor_.on_step(message.step_, message.member_,
                                         sent_at, answer, now);
                });
        });
}

void group_watch::send_hold(const group_monitor::hold& action)
{
    auto& executors = *executors_[action.member_];
    std::weak_ptr<bool> alive = alive_;
    executors.step_executor_.post(
        [this, action, &connection = executors.step_connection_, alive,
         post = post_]
        {
            status_request body{.known_ = {},
                                .known_promised_ = action.term_,
                                .wait_ms_ = action.hold_ms_};
            auto answer = call_endpoint<member_status>(connection, "/v1/hold",
                                                       body, step_timeout_ms);
            bool held =
                answer && answer->leading_ && answer->promised_ == action.term_;
            post(
                [this, action, held, alive](instant now)
                {
                    if (alive.lock() && held)
                        monitor_.on_held(action.member_, action.term_, now);
                });
        });
}

} // namespace tanagerspan
