// The end of an attempt: which replicas it resumes, and which commands stay
// pending.

#include <algorithm>
#include <utility>

#include "coordination/takeover.h"

namespace tanagerspan
{

using kind = takeover_action::kind;

void takeover::mark_releases(const std::string& leader)
{
    // A pending order for another endpoint would cut the changes that a
    // resumed replica confirms.
    bool ours = outcome_unknown_ || order_out_;
    bool cut_later = ours ? target_ != leader
                          : task_.pending_.ordered_.value_or(leader) != leader;
    if (cut_later)
        return;
    for (auto& one : members_)
    {
        bool leads =
            one.who_.id_ == leader || one.who_.id_ == task_.primary_id_;
        // A pause without an answer may have taken effect all the same.
        bool may_be_held = holds_sent_ || one.status_.paused_by_term_ != 0;
        bool reached = one.who_.listed_ || one.answered_;
        one.to_release_ = !leads && may_be_held && reached;
    }
}

takeover::actions takeover::give_up(std::string why, instant now)
{
    return finish("", std::move(why), now);
}

takeover::actions takeover::finish(std::string leader, std::string why,
                                   instant now)
{
    // The promotion that this attempt ordered has ended the pauses itself.
    bool promoted = phase_ == phase::ordering && !leader.empty();
    if (!promoted || release_after_order_)
        mark_releases(leader);
    end_leader_ = std::move(leader);
    end_why_ = std::move(why);
    bool releases = std::any_of(members_.begin(), members_.end(),
                                [](const member_state& one)
                                {
                                    return one.to_release_;
                                });
    if (!releases)
        return end(false);
    phase_ = phase::recording_end;
    ended_ = now;
    return {{.kind_ = kind::record_end,
             .endpoint_id_ = end_leader_,
             .detail_ = end_why_}};
}

takeover::actions takeover::end(bool row_stands)
{
    phase_ = phase::finished;
    return {{.kind_ = kind::finish,
             .endpoint_id_ = end_leader_,
             .detail_ = end_why_,
             .keep_row_ = row_stands}};
}

takeover::actions takeover::on_end_recorded(bool recorded, instant now)
{
    if (phase_ != phase::recording_end)
        return {};
    // Another host may have made a claim since and rely on its own pauses.
    bool in_time = now - ended_ < options_.release_ms_;
    return recorded && in_time ? release_all(now) : end(true);
}

takeover::actions takeover::release_all(instant now)
{
    bool first = phase_ == phase::recording_end;
    phase_ = phase::releasing;
    if (now - ended_ >= options_.release_ms_)
    {
        for (auto& one : members_)
            one.release_late_ = one.release_late_ || one.to_release_;
        return end(true);
    }
    actions out;
    for (auto& one : members_)
    {
        if (!one.to_release_ ||
            (!first && now - one.asked_ < options_.repeat_ms_))
            continue;
        one.release_late_ = one.release_late_ || !first;
        one.asked_ = now;
        out.push_back({kind::resume, one.who_.id_, hold_term_});
    }
    return out;
}

takeover::actions takeover::on_release_answer(member_state& one, bool released)
{
    if (!released)
    {
        one.release_late_ = true;
        return {};
    }
    one.to_release_ = false;
    bool all = true;
    bool late = false;
    for (const auto& other : members_)
    {
        all = all && !other.to_release_;
        late = late || other.release_late_;
    }
    if (!all)
        return {};
    return end(late);
}

pending_commands takeover::pending_at(instant now) const
{
    pending_commands out = task_.pending_;
    std::int64_t spent_ms = now - task_.claimed_at_;
    out.ordered_age_ms_ += spent_ms;
    out.released_age_ms_ += spent_ms;
    if (outcome_unknown_ || order_out_)
    {
        out.ordered_ = target_;
        out.ordered_age_ms_ = now - ordered_at_;
    }
    for (const auto& one : members_)
    {
        if (!one.to_release_ && !one.release_late_)
            continue;
        if (std::find(out.released_.begin(), out.released_.end(),
                      one.who_.id_) == out.released_.end())
            out.released_.push_back(one.who_.id_);
        out.released_age_ms_ =
            phase_ == phase::recording_end ? -options_.release_ms_ : 0;
    }
    return out;
}

} // namespace tanagerspan
