// The maintenance of a group's connections: opening them, keeping the minimum
// number open, closing surplus and timed-out ones, and renewing the freshness
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
constexpr double lag_fading = 0.995;
constexpr double least_lag_ms = 20;

} // namespace

void endpoint_group::open_link(endpoint_state& at)
{
    ++at.opening_;
    auto link =
        std::make_shared<endpoint_link>(loop_, options_.link_, at.entry_);
    link->idle_since_ = monotonic_now();
    at.all_.push_back(link.get());
    // The handler runs before `open` returns if the address is malformed.
    // Otherwise the timeout closes a link whose set-up does not complete.
    limited_.push_back({link, monotonic_now() + options_.open_ms_});
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
    endpoint_state* at = state_of(*link);
    if (at == nullptr)
        return link->close({error_code::leaving, "no longer listed"});
    --at->opening_;
    std::erase(at->all_, link.get());
    if (first && !first->error_)
    {
        ++at->links_;
        at->all_.push_back(link.get());
        at->unreachable_ = false;
        at->last_answer_ = now;
        std::weak_ptr<bool> alive = alive_;
        link->on_reply_ = [this, alive, raw = link.get()](const reply& got)
        {
            if (alive.expired())
                return;
            if (endpoint_state* state = state_of(*raw))
            {
                state->last_answer_ = monotonic_now();
                if (std::exchange(raw->awaits_write_, false))
                    state->first_unanswered_write_ = never;
                if (got.position_)
                    state->known_ = std::max(state->known_, *got.position_);
            }
        };
        link->on_close_ = [this, alive, raw = link.get()]
        {
            if (alive.expired())
                return;
            if (endpoint_state* state = state_of(*raw))
            {
                --state->links_;
                std::erase(state->all_, raw);
                std::erase_if(state->idle_,
                              [raw](const link_ptr& one)
                              {
                                  return one.get() == raw;
                              });
            }
        };
        at->idle_.push_back(link);
        return schedule_dispatch();
    }
    bool full = first && (first->error_ == reply_error::too_many_connections ||
                          first->error_ == reply_error::busy);
    at->full_until_ = now + options_.full_ms_;
    if (full)
        at->no_surplus_until_ = now + options_.no_surplus_ms_;
    if (!full)
    {
        at->avoided_until_ = now + options_.avoid_ms_;
        at->unreachable_ = true;
    }
    log_line(log_level::info, "endpoint_connection_refused",
             {{"service", at->entry_.service_},
              {"endpoint", at->entry_.id_},
              {"reason", first ? std::string(name_of(*first->error_))
                               : first.error().detail_}});
    link->close({error_code::not_sent, "not opened"});
    schedule_dispatch();
}

void endpoint_group::close_surplus(endpoint_state& at, instant now)
{
    bool contended = at.no_surplus_until_ > now;
    while (at.links_ > kept_links() && !at.idle_.empty() &&
           (contended ||
            now - at.idle_.front()->idle_since_ > options_.surplus_idle_ms_))
    {
        link_ptr link = at.idle_.front();
        at.idle_.erase(at.idle_.begin());
        link->close({error_code::lost, "surplus"});
    }
}

void endpoint_group::tick(instant now)
{
    for (auto& at : endpoints_)
    {
        close_surplus(*at, now);
        at->lag_ms_ = std::max(at->lag_ms_ * lag_fading, least_lag_ms);
        std::size_t warm = std::min(options_.warm_links_, kept_links());
        while (at->listed_ && at->links_ + at->opening_ < warm &&
               may_open(*at, now) && at->avoided_until_ <= now)
            open_link(*at);
    }
    end_late_links(now);
    judge_primary(now);
    renew_mark(now);
    if (!waiting_.empty())
        schedule_dispatch();
}

void endpoint_group::judge_primary(instant now)
{
    primary_health seen = health();
    bool silent = seen.unanswered_since_ != never &&
                  now - seen.unanswered_since_ >= options_.cut_after_ms_;
    bool cut = !seen.endpoint_id_.empty() && (seen.unreachable_ || silent);
    if (cut == std::exchange(primary_cut_, cut))
        return;
    log_line(log_level::info, cut ? "primary_not_reached" : "primary_reached",
             {{"endpoint", seen.endpoint_id_},
              {"refused", seen.unreachable_},
              {"answered_ms_ago",
               seen.last_answer_ == never ? -1 : now - seen.last_answer_}});
}

void endpoint_group::renew_mark(instant now)
{
    auto newest = marks_.newest();
    bool fresh = newest && now - *newest < options_.mark_every_ms_;
    if (renewing_mark_ || fresh ||
        now - marks_wanted_ > options_.marks_wanted_ms_)
        return;
    renewing_mark_ = true;
    constexpr std::int64_t before_all_work = -1;
    request(
        {.primary_ = true,
         .order_ = {.priority_ = before_all_work},
         .slotless_ = true},
        [this](const link_ptr& link)
        {
            ask_for_mark(link);
        },
        now);
}

void endpoint_group::ask_for_mark(const link_ptr& link)
{
    instant asked = monotonic_now();
    limited_.push_back({link, asked + options_.roll_back_ms_});
    link->enqueue({.kind_ = statement_kind::begin},
                  [this, link, asked, alive = std::weak_ptr<bool>(alive_)](
                      const result<reply>& got)
                  {
                      if (alive.expired())
                          return;
                      renewing_mark_ = false;
                      instant now = monotonic_now();
                      bool leads = got && !got->error_;
                      if (leads && got->position_)
                          marks_.add(asked, *got->position_);
                      if (got && got->error_ == reply_error::read_only)
                          on_not_primary(link, now);
                      // Rolls back the transaction that was begun for the mark.
                      give_back(link, got.has_value(), now);
                  });
    link->flush();
}

void endpoint_group::end_late_links(instant now)
{
    for (const auto& one : std::exchange(limited_, {}))
    {
        if (!one.link_->awaits_reply())
            continue;
        if (now >= one.close_at_)
            one.link_->close({error_code::lost, "no answer in time"});
        else
            limited_.push_back(one);
    }
    for (const auto& one : std::exchange(abandoned_, {}))
    {
        if (one.link_->awaits_reply() && now >= one.close_at_)
            one.link_->close({error_code::lost, "no answer in time"});
        else if (one.link_->awaits_reply())
            abandoned_.push_back(one);
        else
            give_back(one.link_, true, now);
    }
}

} // namespace tanagerspan
