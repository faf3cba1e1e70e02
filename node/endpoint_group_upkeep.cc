// The maintenance of a group's connections: opening them, keeping the minimum
// number open, closing idle and timed-out ones, and renewing the freshness
// mark.

#include <algorithm>
#include <utility>

#include "node/endpoint_group.h"
#include "transport/json_log.h"
#include "transport/monotonic_clock.h"

namespace tanagerspan
{
namespace
{

// The estimate of a replica's lag is multiplied by this at each tick, so that
// it halves in a few seconds. The lower bound is the smallest lag that is worth
// estimating.
constexpr double lag_decay_per_tick = 0.995;
constexpr double min_lag_ms = 20;

} // namespace

void endpoint_group::open_link(endpoint_state& endpoint,
                               const std::string& account)
{
    ++endpoint.opening_links_;
    endpoint_link::options opts = options_.link_;
    opts.account_ = account;
    auto link = std::make_shared<endpoint_link>(loop_, std::move(opts),
                                                endpoint.entry_);
    link->idle_since_ = monotonic_now();
    endpoint.all_.push_back(link.get());
    // The timeout closes a link whose set-up does not complete.
    timed_links_.push_back({link, monotonic_now() + options_.open_timeout_ms_});
    link->open(
        [this, link,
         alive = std::weak_ptr<bool>(alive_)](const result<reply>& first)
        {
            if (!alive.expired())
                on_opened(link, first);
        });
}

void endpoint_group::on_opened(const link_ptr& link, const result<reply>& first)
{
    instant now = monotonic_now();
    endpoint_state* endpoint = endpoint_of(*link);
    if (endpoint == nullptr)
        return link->close(
            {error_code::leaving, "the endpoint is no longer listed"});
    --endpoint->opening_links_;
    std::erase(endpoint->all_, link.get());
    if (first && !first->error_)
    {
        ++endpoint->links_;
        endpoint->all_.push_back(link.get());
        endpoint->unreachable_ = false;
        on_contact(*endpoint, now, now);
        endpoint->last_answer_ = now;
        std::weak_ptr<bool> alive = alive_;
        link->on_reply_ =
            [this, alive, raw = link.get()](const reply& got, instant waited)
        {
            if (alive.expired())
                return;
            if (endpoint_state* state = endpoint_of(*raw))
            {
                instant answered_at = monotonic_now();
                on_contact(*state, waited, answered_at);
                state->last_answer_ = answered_at;
                if (std::exchange(raw->awaits_write_reply_, false))
                    state->unanswered_write_since_ = never;
                if (got.position_)
                    state->last_position_ =
                        std::max(state->last_position_, *got.position_);
            }
        };
        link->on_close_ = [this, alive, raw = link.get()]
        {
            if (alive.expired())
                return;
            if (endpoint_state* state = endpoint_of(*raw))
            {
                if (raw->ended_by_endpoint())
                    state->contact_.on_lost();
                if (raw->awaiting_since() != never)
                    state->contact_.on_abandoned(raw->awaiting_since());
                --state->links_;
                std::erase(state->all_, raw);
                std::erase_if(state->idle_,
                              [raw](const link_ptr& one)
                              {
                                  return one.get() == raw;
                              });
            }
        };
        endpoint->idle_.push_back(link);
        return schedule_dispatch();
    }
    bool full = first && (first->error_ == reply_error::too_many_connections ||
                          first->error_ == reply_error::busy);
    endpoint->full_until_ = now + options_.full_backoff_ms_;
    if (!full)
    {
        endpoint->avoided_until_ = now + options_.failure_backoff_ms_;
        endpoint->unreachable_ = true;
        endpoint->contact_.on_lost();
    }
    log_line(log_level::info, "endpoint_connection_refused",
             {{"service", endpoint->entry_.service_},
              {"endpoint", endpoint->entry_.id_},
              {"reason", first ? std::string(name_of(*first->error_))
                               : first.error().detail_}});
    link->close({error_code::not_sent, "the connection was not opened"});
    schedule_dispatch();
}

void endpoint_group::on_contact(endpoint_state& endpoint, instant waited_since,
                                instant now)
{
    for (const endpoint_link* link : endpoint.all_)
    {
        instant other = link->awaiting_since();
        if (other != never)
            waited_since = std::min(waited_since, other);
    }
    if (!options_.request_rows_)
        return;
    bool was_confirmed = endpoint.contact_.is_confirmed();
    endpoint.contact_.on_answer(waited_since, now);
    auto primary = primary_index(now);
    bool is_primary = primary && endpoints_[*primary].get() == &endpoint;
    if (!is_primary || !was_confirmed || endpoint.contact_.is_confirmed())
        return;
    log_line(
        log_level::info, "primary_back",
        {{"service", endpoint.entry_.service_},
         {"endpoint", endpoint.entry_.id_},
         {"answered_ms_ago",
          endpoint.last_answer_ == never ? -1 : now - endpoint.last_answer_}});
    options_.request_rows_();
}

void endpoint_group::on_rows_read(instant asked)
{
    for (auto& endpoint : endpoints_)
        endpoint->contact_.on_rows_read(asked);
    for (auto& confirmed : std::exchange(awaiting_rows_, {}))
        confirmed();
    schedule_dispatch();
}

bool endpoint_group::is_confirmed(const endpoint_link& link) const
{
    const endpoint_state* endpoint = endpoint_of(link);
    return endpoint == nullptr || endpoint->contact_.is_confirmed();
}

bool endpoint_group::needs_rows(instant now) const
{
    auto primary = primary_index(now);
    return primary && !endpoints_[*primary]->contact_.is_confirmed();
}

std::size_t endpoint_group::retained_links() const
{
    if (!is_home_)
        return 0;
    // With accounts a home has many connections and no warm ones. The larger
    // half of an odd share would not fit in twice: 6 homes with 5 of 9 would
    // need 60 of 58 connections.
    return uses_accounts_ ? share_ / 2 : (share_ + 1) / 2;
}

void endpoint_group::close_idle(endpoint_state& endpoint, instant now)
{
    while (endpoint.links_ > retained_links() && !endpoint.idle_.empty() &&
           now - endpoint.idle_.front()->idle_since_ > options_.max_idle_ms_)
    {
        link_ptr link = endpoint.idle_.front();
        endpoint.idle_.erase(endpoint.idle_.begin());
        link->close({error_code::lost, "idle connection"});
    }
}

void endpoint_group::log_end_of_use(endpoint_state& endpoint, instant now)
{
    bool drained = is_drained(endpoint, now);
    if (drained == std::exchange(endpoint.drained_, drained) || !drained)
        return;
    log_line(log_level::info, "endpoint_use_ended",
             {{"service", endpoint.entry_.service_},
              {"endpoint", endpoint.entry_.id_},
              {"busy_connections", busy_links(endpoint)}});
}

void endpoint_group::tick(instant now)
{
    for (auto& endpoint : endpoints_)
    {
        log_end_of_use(*endpoint, now);
        close_idle(*endpoint, now);
        endpoint->lag_ms_ =
            std::max(endpoint->lag_ms_ * lag_decay_per_tick, min_lag_ms);
        std::size_t warm =
            uses_accounts_ ? 0
                           : std::min(options_.warm_links_, retained_links());
        while (endpoint->listed_ &&
               endpoint->links_ + endpoint->opening_links_ < warm &&
               may_open_link(*endpoint, now) && endpoint->avoided_until_ <= now)
            open_link(*endpoint, {});
    }
    close_late_links(now);
    update_primary_reachability(now);
    renew_mark(now);
    if (!waiting_.empty())
        schedule_dispatch();
}

void endpoint_group::update_primary_reachability(instant now)
{
    primary_health current = health();
    bool silent =
        current.unanswered_since_ != never &&
        now - current.unanswered_since_ >= options_.primary_silence_ms_;
    bool unreachable =
        !current.endpoint_id_.empty() && (current.unreachable_ || silent);
    if (unreachable == std::exchange(primary_unreachable_, unreachable))
        return;
    log_line(
        log_level::info,
        unreachable ? "primary_not_reached" : "primary_reached",
        {{"endpoint", current.endpoint_id_},
         {"refused", current.unreachable_},
         {"answered_ms_ago",
          current.last_answer_ == never ? -1 : now - current.last_answer_}});
}

void endpoint_group::renew_mark(instant now)
{
    auto newest = marks_.newest();
    bool fresh = newest && now - *newest < options_.mark_interval_ms_;
    if (renewing_mark_ || fresh ||
        now - last_mark_demand_ > options_.mark_demand_ms_)
        return;
    renewing_mark_ = true;
    constexpr std::int64_t before_all_work = -1;
    request_link(
        {.primary_ = true,
         .order_ = {.priority_ = before_all_work},
         .takes_no_slot_ = true},
        [this](const link_ptr& link)
        {
            request_mark(link);
        },
        now);
}

void endpoint_group::request_mark(const link_ptr& link)
{
    instant sent_at = monotonic_now();
    timed_links_.push_back({link, sent_at + options_.roll_back_timeout_ms_});
    link->enqueue({.kind_ = statement_kind::begin},
                  [this, link, sent_at, alive = std::weak_ptr<bool>(alive_)](
                      const result<reply>& got)
                  {
                      if (alive.expired())
                          return;
                      renewing_mark_ = false;
                      instant now = monotonic_now();
                      bool is_primary = got && !got->error_;
                      if (is_primary && got->position_)
                          marks_.add(sent_at, *got->position_);
                      if (got && got->error_ == reply_error::read_only)
                          on_not_primary(link, now);
                      // Rolls back the transaction that was begun for the mark.
                      release(link, got.has_value(), now);
                  });
    link->flush();
}

void endpoint_group::close_late_links(instant now)
{
    for (const auto& one : std::exchange(timed_links_, {}))
    {
        if (!one.link_->awaits_reply())
            continue;
        if (now >= one.close_at_)
            one.link_->close({error_code::lost, "no answer in time"});
        else
            timed_links_.push_back(one);
    }
    for (const auto& one : std::exchange(abandoned_links_, {}))
    {
        if (one.link_->awaits_reply() && now >= one.close_at_)
            one.link_->close({error_code::lost, "no answer in time"});
        else if (one.link_->awaits_reply())
            abandoned_links_.push_back(one);
        else
            release(one.link_, true, now);
    }
}

} // namespace tanagerspan
