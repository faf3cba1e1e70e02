#include "coordination/takeover.h"

#include <algorithm>
#include <utility>

namespace tanagerspan
{

using kind = takeover_action::kind;

std::string_view name_of(takeover_reason reason)
{
    switch (reason)
    {
    case takeover_reason::leaving:
        return "leaving";
    case takeover_reason::silent:
        return "silent";
    case takeover_reason::stuck:
        return "stuck";
    case takeover_reason::unfinished:
        return "unfinished";
    default:
        return "no_primary";
    }
}

takeover::takeover(options opts, takeover_task task)
    : options_(opts), task_(std::move(task))
{
    for (const auto& one : task_.members_)
        members_.push_back({.who_ = one});
}

takeover::member_state* takeover::find(const std::string& id)
{
    for (auto& one : members_)
    {
        if (one.who_.id_ == id)
            return &one;
    }
    return nullptr;
}

bool takeover::is_replica(const member_state& one) const
{
    // A primary that has stepped down, also in an earlier attempt, is treated
    // as a replica.
    return one.who_.id_ != task_.primary_id_ || one.was_replica_;
}

std::vector<takeover::member_state*> takeover::replicas()
{
    std::vector<member_state*> out;
    for (auto& one : members_)
    {
        if (is_replica(one))
            out.push_back(&one);
    }
    return out;
}

bool takeover::lease_over(instant now) const
{
    return now - task_.claimed_at_ >= options_.lease_ms_;
}

takeover::actions takeover::start(instant now)
{
    phase_since_ = now;
    actions out;
    for (auto& one : members_)
    {
        one.asked_ = now;
        out.push_back({kind::ask_status, one.who_.id_});
    }
    if (members_.empty())
        return finish("", "no endpoint is known", now);
    return out;
}

bool takeover::leads_anew(const std::string& id,
                          const endpoint_status& status) const
{
    return status.primary_ && id != task_.primary_id_ &&
           status.term_ >= seen_term_;
}

takeover::actions takeover::on_status(const std::string& id,
                                      std::optional<endpoint_status> status,
                                      instant now)
{
    member_state* one = find(id);
    if (one == nullptr || finished() || phase_ == phase::recording_end)
        return {};
    if (phase_ == phase::releasing)
        return on_release_answer(*one, status && status->paused_by_term_ == 0);
    one->answered_ = status.has_value();
    one->failed_ = !status;
    if (status)
    {
        one->status_ = *status;
        one->was_replica_ = one->was_replica_ || !status->primary_;
    }
    if (phase_ == phase::inspecting)
        return judge_inspection(now);
    if (phase_ == phase::ordering && id == target_)
        return status ? on_target_status(*status, now) : actions{};
    if (phase_ == phase::ordering)
        return status ? guard_order(*one) : actions{};
    // An order of an earlier attempt took effect in the meantime.
    if (status && leads_anew(id, *status))
        return finish(id, "another one leads already", now);
    if (phase_ == phase::comparing)
        return judge_comparison(now);
    if (phase_ == phase::demoting)
    {
        if (id != task_.primary_id_ || !status || status->primary_)
            return {};
        stepped_down_ = true;
        no_primary_at_ = now;
        phase_ = phase::settling;
        phase_since_ = now;
        return {};
    }
    if (phase_ == phase::holding)
        return on_hold_answer(*one, status.has_value(), now);
    return {};
}

takeover::actions takeover::on_refused(const std::string& id, instant now)
{
    if (member_state* one = find(id))
        one->refused_ = true;
    return on_status(id, std::nullopt, now);
}

takeover::actions takeover::judge_inspection(instant now)
{
    bool all = std::all_of(members_.begin(), members_.end(),
                           [](const member_state& one)
                           {
                               return one.answered_ || one.failed_;
                           });
    if (!all && now - phase_since_ < options_.inspect_ms_)
        return {};
    std::uint64_t newest = 0;
    for (const auto& one : members_)
        newest = std::max(newest, one.status_.term_);
    for (const auto& one : members_)
    {
        bool leads = one.answered_ && one.status_.primary_ &&
                     one.status_.term_ == newest &&
                     one.who_.id_ != task_.primary_id_;
        if (!leads)
            continue;
        // A pending order for another endpoint would cut what this primary
        // acknowledges.
        bool cut_later =
            task_.pending_.ordered_.value_or(one.who_.id_) != one.who_.id_;
        if (!cut_later)
            return finish(one.who_.id_, "another one leads already", now);
        task_.primary_id_ = one.who_.id_;
    }
    if (newest == 0)
        return give_up("no endpoint answered", now);
    // The promotion starts this term. A pause with a later term would outlast
    // the promotion.
    seen_term_ = newest;
    hold_term_ = std::max(newest, task_.term_) + 1;
    member_state* primary = find(task_.primary_id_);
    if (primary != nullptr && !primary->answered_ && primary->refused_)
        return give_up("the primary lives, but is too busy to answer", now);
    if (primary != nullptr && primary->answered_ && primary->status_.primary_)
        return judge_leader(*primary, now);
    return hold_replicas(now);
}

takeover::actions takeover::judge_leader(member_state& primary, instant now)
{
    // An order that may be pending is completed in any case.
    const auto& ordered = task_.pending_.ordered_;
    bool cut_later = ordered && *ordered != task_.primary_id_;
    if (cut_later || primary.who_.leaving_ ||
        task_.reason_ == takeover_reason::leaving)
        return replace_leader(now);
    if (ordered || task_.reason_ == takeover_reason::no_primary)
        return finish(task_.primary_id_, "it leads", now);
    return compare(now);
}

takeover::actions takeover::compare(instant now)
{
    phase_ = phase::comparing;
    phase_since_ = now;
    primary_held_ = find(task_.primary_id_)->status_.received_;
    for (member_state* one : replicas())
    {
        one->answered_ = one->failed_ = false;
        one->asked_ = never;
    }
    return {};
}

takeover::actions takeover::judge_comparison(instant now)
{
    bool all = true;
    bool held = false;
    for (const member_state* one : replicas())
    {
        if (one->answered_ && one->status_.received_ >= primary_held_)
            return give_up("the primary answers and a replica receives", now);
        all = all && (one->answered_ || one->failed_);
        held = held || (one->answered_ && one->status_.paused_by_term_ != 0);
    }
    bool over =
        now - phase_since_ >= options_.receive_ms_ + options_.inspect_ms_;
    if (!all && !over)
        return {};
    if (held)
        return finish(task_.primary_id_, "its replicas were still held", now);
    // No replica confirms what the primary writes.
    return replace_leader(now);
}

takeover::actions takeover::replace_leader(instant now)
{
    // A pending order for this primary would undo the step down.
    if (task_.pending_.ordered_ == task_.primary_id_)
    {
        phase_ = phase::recording;
        fence_ = true;
        target_ = task_.primary_id_;
        return {{kind::record_target, target_, seen_term_}};
    }
    demoted_ = now;
    return demote(now);
}

takeover::actions takeover::demote(instant now)
{
    phase_ = phase::demoting;
    phase_since_ = now;
    return {{kind::step_down, task_.primary_id_, hold_term_}};
}

takeover::actions takeover::ask_replicas(kind what, std::int64_t after_ms,
                                         instant now)
{
    actions out;
    for (member_state* one : replicas())
    {
        if (now - one->asked_ < after_ms)
            continue;
        bool primary = stepped_down_ && one->who_.id_ == task_.primary_id_;
        one->asked_ = now;
        out.push_back(
            {primary ? kind::ask_status : what, one->who_.id_, hold_term_});
    }
    return out;
}

takeover::actions takeover::tick(instant now)
{
    bool ending = phase_ == phase::recording_end || phase_ == phase::releasing;
    if (finished())
        return {};
    if (lease_over(now) && !ending)
    {
        // An accepted order takes effect; the replicas stay paused for it.
        return ordered_done_ ? finish(target_, "ordered", now)
                             : give_up("the lease is over", now);
    }
    return tick_phase(now);
}

takeover::actions takeover::tick_phase(instant now)
{
    std::int64_t spent_ms = now - phase_since_;
    switch (phase_)
    {
    case phase::inspecting:
        return judge_inspection(now);
    case phase::comparing:
    {
        if (spent_ms < options_.receive_ms_)
            return {};
        // Each replica is asked once: `compare` reset `asked_`.
        actions out = ask_replicas(kind::ask_status, options_.lease_ms_, now);
        return out.empty() ? judge_comparison(now) : out;
    }
    case phase::demoting:
        // The primary answered before, but may have crashed since.
        if (now - demoted_ >= options_.inspect_ms_)
            return hold_replicas(now);
        return spent_ms < options_.repeat_ms_ ? actions{} : demote(now);
    case phase::settling:
        return spent_ms < options_.settle_ms_ ? actions{} : hold_replicas(now);
    case phase::holding:
    {
        actions out = check_held(now);
        return out.empty() ? ask_replicas(kind::pause, options_.repeat_ms_, now)
                           : out;
    }
    case phase::ordering:
        return ordered_done_ ? await_leader(now) : tick_order(now);
    case phase::fencing:
        return order_again(now);
    case phase::fenced:
        if (spent_ms < options_.promote_ms_)
            return {};
        demoted_ = now;
        return demote(now);
    case phase::releasing:
        return release_all(now);
    default:
        return {};
    }
}

takeover::actions takeover::on_joined(const std::string& id, instant now)
{
    switch (phase_)
    {
    case phase::finished:
    case phase::recording_end:
    case phase::releasing:
        return {};
    case phase::ordering:
        // The order cannot be cancelled, so the new endpoint must not confirm
        // changes.
        if (find(id) == nullptr)
            members_.push_back({.who_ = {.id_ = id}, .asked_ = now});
        return {{kind::pause, id, hold_term_}};
    default:
        return give_up("an endpoint joined", now);
    }
}

} // namespace tanagerspan
