// The end of an attempt: which replicas it resumes, and which commands stay
// pending.

#include <algorithm>
#include <utility>

#include "coordination/takeover.h"

namespace tanagerspan
{

using kind = takeover_action::kind;

bool takeover::is_own_order_pending(instant now) const
{
    bool takes_effect = accepted_at_ != never && promoted_term_ == 0 &&
                        now - accepted_at_ < options_.promotion_ms_;
    return is_own_order_unanswered() || takes_effect;
}

void takeover::choose_replicas_to_resume(const std::string& primary,
                                         instant now)
{
    // A pending order for another endpoint would discard the changes that a
    // resumed replica confirms.
    bool conflicting_order =
        is_own_order_pending(now)
            ? target_ != primary
            : task_.pending_.ordered_.value_or(primary) != primary;
    if (conflicting_order)
        return;
    for (auto& member : members_)
    {
        bool is_primary = member.info_.id_ == primary ||
                          member.info_.id_ == task_.primary_id_;
        // A pause without an answer may have taken effect all the same.
        bool may_be_paused =
            pauses_sent_ || member.status_.paused_by_term_ != 0;
        bool reached = member.info_.listed_ || member.answered_;
        member.to_resume_ = !is_primary && may_be_paused && reached;
    }
}

takeover::actions takeover::give_up(std::string reason, instant now)
{
    return finish("", std::move(reason), now);
}

takeover::actions takeover::finish(std::string primary, std::string reason,
                                   instant now)
{
    // A row that is written meanwhile would be refused, because the row of the
    // order gives it another version. The row would then name an order that is
    // never sent, and the next attempt would complete that order.
    if (phase_ == phase::recording_target)
    {
        end_after_recording_ = true;
        end_primary_ = std::move(primary);
        end_reason_ = std::move(reason);
        return {};
    }
    // The promotion that this attempt ordered has ended the pauses itself.
    bool promoted = phase_ == phase::ordering && !primary.empty();
    if (!promoted || resume_after_promotion_)
        choose_replicas_to_resume(primary, now);
    end_primary_ = std::move(primary);
    end_reason_ = std::move(reason);
    bool any_to_resume = std::any_of(members_.begin(), members_.end(),
                                     [](const member_state& member)
                                     {
                                         return member.to_resume_;
                                     });
    if (!any_to_resume)
        return complete(false);
    phase_ = phase::recording_end;
    end_started_at_ = now;
    return {{.kind_ = kind::record_end,
             .endpoint_id_ = end_primary_,
             .term_ = promoted_term_,
             .detail_ = end_reason_}};
}

takeover::actions takeover::complete(bool keep_row)
{
    phase_ = phase::finished;
    return {{.kind_ = kind::finish,
             .endpoint_id_ = end_primary_,
             .term_ = promoted_term_,
             .detail_ = end_reason_,
             .keep_row_ = keep_row}};
}

takeover::actions takeover::on_end_recorded(bool recorded, instant now)
{
    if (phase_ != phase::recording_end)
        return {};
    // If the row was not recorded or the time is up, another host may have
    // made a claim. Its attempt relies on the pauses, so they must stay.
    bool in_time = now - end_started_at_ < options_.resume_timeout_ms_;
    return recorded && in_time ? resume_replicas(now) : complete(true);
}

takeover::actions takeover::resume_replicas(instant now)
{
    bool first = phase_ == phase::recording_end;
    phase_ = phase::resuming;
    if (now - end_started_at_ >= options_.resume_timeout_ms_)
    {
        // The recorded end names all replicas to resume. The last row names
        // only those whose commands may arrive late.
        for (auto& member : members_)
            member.resume_pending_ =
                member.resume_pending_ || member.to_resume_;
        return complete(false);
    }
    actions out;
    for (auto& member : members_)
    {
        if (!member.to_resume_ ||
            (!first && now - member.asked_at_ < options_.repeat_ms_))
            continue;
        member.resume_pending_ = member.resume_pending_ || !first;
        member.asked_at_ = now;
        out.push_back({kind::resume, member.info_.id_, pause_term_});
    }
    return out;
}

takeover::actions takeover::on_resume_answer(member_state& member, bool resumed)
{
    if (!resumed)
    {
        member.resume_pending_ = true;
        return {};
    }
    member.to_resume_ = false;
    bool all = true;
    bool late = false;
    for (const auto& other : members_)
    {
        all = all && !other.to_resume_;
        late = late || other.resume_pending_;
    }
    if (!all)
        return {};
    return complete(late);
}

pending_commands takeover::pending_at(instant now) const
{
    pending_commands out = task_.pending_;
    std::int64_t elapsed_ms = now - task_.claimed_at_;
    out.ordered_age_ms_ += elapsed_ms;
    out.resumed_age_ms_ += elapsed_ms;
    if (is_own_order_pending(now))
    {
        out.ordered_ = target_;
        out.ordered_age_ms_ = now - ordered_at_;
        // No copy of an order that was answered can arrive late.
        if (!is_own_order_unanswered())
            out.ordered_age_ms_ +=
                max_command_delay_ms - options_.promotion_ms_;
    }
    for (const auto& member : members_)
    {
        if (!member.to_resume_ && !member.resume_pending_)
            continue;
        if (std::find(out.resumed_.begin(), out.resumed_.end(),
                      member.info_.id_) == out.resumed_.end())
            out.resumed_.push_back(member.info_.id_);
        out.resumed_age_ms_ =
            phase_ == phase::recording_end ? -options_.resume_timeout_ms_ : 0;
    }
    return out;
}

} // namespace tanagerspan
