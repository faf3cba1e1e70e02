// The second half of an attempt: pauses the replicas, chooses one and orders
// its promotion.

#include <algorithm>
#include <utility>

#include "coordination/takeover.h"

namespace tanagerspan
{

using kind = takeover_action::kind;

takeover::actions takeover::pause_replicas(instant now)
{
    phase_ = phase::pausing;
    phase_since_ = now;
    pauses_sent_ = true;
    list_requested_at_ = never;
    // A primary that stepped down has the complete log.
    actions out = stepped_down_ ? actions{} : request_list(now);
    for (member_state* member : replicas())
    {
        // The former primary receives nothing, so it confirms nothing.
        if (stepped_down_ && member->info_.id_ == task_.primary_id_)
            continue;
        member->asked_at_ = now;
        out.push_back({kind::pause, member->info_.id_, pause_term_});
    }
    if (member_state* primary = find(task_.primary_id_))
    {
        // Only an answer from now on shows that it works.
        if (!stepped_down_ && !is_replica(*primary))
            primary->answered_ = primary->failed_ = false;
    }
    command_silent_primary(out, kind::ask_status, options_.repeat_ms_, now);
    if (out.empty())
        return check_paused(now);
    return out;
}

bool takeover::is_primary_back(const member_state& member) const
{
    return !stepped_down_ && member.info_.id_ == task_.primary_id_ &&
           member.answered_ && member.status_.primary_ &&
           member.status_.term_ >= newest_seen_term_ &&
           member.status_.term_ < pause_term_;
}

void takeover::command_silent_primary(actions& out, kind command,
                                      std::int64_t after_ms, instant now)
{
    member_state* primary = find(task_.primary_id_);
    bool silent = primary != nullptr && !stepped_down_ &&
                  !is_replica(*primary) && target_ != task_.primary_id_;
    if (!silent || now - primary->asked_at_ < after_ms)
        return;
    primary->asked_at_ = now;
    out.push_back({command, primary->info_.id_, pause_term_});
}

takeover::actions takeover::on_pause_answer(member_state& member, bool answered,
                                            instant now)
{
    if (stepped_down_ && member.info_.id_ == task_.primary_id_)
    {
        if (answered && member.status_.primary_)
            return give_up("the former primary restarted", now);
        if (answered)
            step_down_confirmed_at_ = now;
        return check_paused(now);
    }
    // Endpoints that joined may confirm changes of a primary that works again,
    // whatever the logs of the paused replicas show.
    if (is_primary_back(member))
        return replace_primary(now);
    bool paused = answered && member.status_.paused_by_term_ >= pause_term_;
    if (paused)
        member.paused_at_ = now;
    // The other replicas were paused before this term was known, so their
    // pauses do not name a later term.
    if (answered && !paused && member.status_.term_ >= pause_term_)
        return give_up("a newer term was found", now);
    return check_paused(now);
}

promotion_evidence takeover::collect_evidence(instant now) const
{
    promotion_evidence out{.departed_bound_ = task_.departed_bound_,
                           .primary_unknown_ = task_.primary_id_.empty(),
                           .unread_logs_lost_ = unread_logs_lost(now),
                           .floor_ = task_.floor_,
                           .floor_term_ = task_.term_,
                           .ordered_before_ = task_.pending_.ordered_};
    bool still_stepped_down =
        now - step_down_confirmed_at_ <= options_.pause_valid_ms_;
    if (stepped_down_ && still_stepped_down)
        out.stepped_down_ = task_.primary_id_;
    // Nothing is acknowledged after the step down.
    out.members_complete_ =
        stepped_down_ ? listed_at_ > stepped_down_at_
                      : listed_at_ >= phase_since_ &&
                            now - listed_at_ <= options_.pause_valid_ms_;
    // A pending order for the current primary changes nothing while it is
    // primary, and is refused once the platform has received the order of this
    // attempt.
    bool for_primary = task_.pending_.ordered_ == task_.primary_id_;
    if (for_primary && !stepped_down_)
        out.ordered_before_.reset();
    for (const auto& member : members_)
    {
        bool primary = member.info_.id_ == task_.primary_id_;
        if (!is_replica(member) ||
            (primary && stepped_down_ && !still_stepped_down))
            continue;
        const auto& resumed = task_.pending_.resumed_;
        bool paused = now - member.paused_at_ <= options_.pause_valid_ms_;
        bool resume_pending = std::find(resumed.begin(), resumed.end(),
                                        member.info_.id_) != resumed.end();
        replica_log log{.id_ = member.info_.id_,
                        .fixed_ = paused && !resume_pending,
                        .leaving_ = member.info_.leaving_,
                        .listed_ = member.info_.listed_,
                        .received_bound_ = member.info_.received_bound_};
        if (member.answered_)
        {
            log.received_ = member.status_.received_;
            log.term_ = member.status_.term_;
        }
        out.logs_.push_back(std::move(log));
    }
    return out;
}

bool takeover::unread_logs_lost(instant now) const
{
    return !stepped_down_ && !primary_answered_ &&
           task_.without_primary_since_ != never &&
           now - task_.without_primary_since_ >= options_.lost_after_ms_;
}

bool takeover::ends_before_logs_are_lost() const
{
    return task_.without_primary_since_ != never &&
           task_.without_primary_since_ + options_.lost_after_ms_ >=
               task_.claimed_at_ + options_.lease_ms_;
}

takeover::actions takeover::check_paused(instant now)
{
    // The logs can be compared only once all replicas are paused, since they
    // may grow until then. A replica without an answer may be gone; whether its
    // log matters is left to the choice.
    bool awaiting_pause = false;
    bool awaiting_silent = false;
    bool awaiting_answer = false;
    for (const member_state* member : replicas())
    {
        bool primary = stepped_down_ && member->info_.id_ == task_.primary_id_;
        bool paused = member->answered_ && member->paused_at_ >= phase_since_;
        bool unpaused = !primary && member->info_.listed_ && !paused;
        awaiting_pause = awaiting_pause || (unpaused && !member->failed_);
        awaiting_silent = awaiting_silent || (unpaused && member->failed_);
        awaiting_answer = awaiting_answer || (!member->info_.listed_ &&
                                              !paused && !member->failed_);
    }
    // A primary that answered before may only have missed the step down.
    const member_state* primary = find(task_.primary_id_);
    bool awaiting_primary = primary_answered_ && !stepped_down_ &&
                            primary != nullptr && !primary->failed_;
    bool may_answer =
        (awaiting_silent || awaiting_answer || awaiting_primary) &&
        now - phase_since_ < options_.inspect_timeout_ms_;
    if (awaiting_pause || may_answer)
        return {};
    promotion_choice choice = choose_promotion(collect_evidence(now));
    obstacle_ = choice.why_not_;
    bool last_resort = choice.id_.empty() || choice.id_ == task_.primary_id_;
    if (choice.needs_members_ && last_resort &&
        (choice.id_.empty() ||
         now - phase_since_ < options_.inspect_timeout_ms_))
        return request_list(now);
    if (choice.id_.empty())
    {
        bool may_change = awaiting_silent ||
                          choice.why_not_ == promotion_obstacle::log_may_grow ||
                          choice.why_not_ == promotion_obstacle::log_unknown;
        bool in_vain = ends_before_logs_are_lost() &&
                       now - phase_since_ >= options_.unread_log_wait_ms_;
        if (may_change && !in_vain)
            return {};
        return give_up(std::string(name_of(choice.why_not_)), now);
    }
    // The silent replica may have the log of the primary, which should not be
    // its own successor then.
    bool may_wait = find(choice.id_)->info_.leaving_ ||
                    now - phase_since_ < options_.inspect_timeout_ms_;
    if (awaiting_silent && choice.id_ == task_.primary_id_ && may_wait)
        return {};
    target_ = choice.id_;
    phase_ = phase::recording_target;
    actions out{{.kind_ = kind::record_target,
                 .endpoint_id_ = target_,
                 .term_ = pause_term_,
                 .floor_ = find(target_)->status_.received_}};
    // A primary that works again is replaced in another way.
    command_silent_primary(out, kind::ask_status, 0, now);
    return out;
}

takeover::actions takeover::on_target_recorded(bool recorded, instant now)
{
    if (phase_ != phase::recording_target)
        return {};
    phase_ = phase::pausing;
    if (end_after_recording_)
        return finish(end_primary_, end_reason_, now);
    if (!recorded)
        return give_up("the takeover row could not be written", now);
    if (lease_expired(now))
        return give_up("the lease expired", now);
    if (order_is_fence_)
        return send_order(now);
    if (auto out = replace_invalid_choice(now); !out.empty())
        return out;
    if (stepped_down_)
        return send_order(now);
    // A crashed primary that came back under another id may have acknowledged
    // changes since the list was read. Hosts that know the row give it no work.
    phase_ = phase::listing;
    phase_since_ = now;
    list_requested_at_ = never;
    return request_list(now);
}

takeover::actions takeover::replace_invalid_choice(instant now)
{
    // The primary answered meanwhile.
    const member_state* primary = find(task_.primary_id_);
    if (primary != nullptr && is_primary_back(*primary))
        return replace_primary(now);
    // So much time may have passed that pauses have lapsed.
    bool valid = choose_promotion(collect_evidence(now)).id_ == target_;
    return valid ? actions{} : pause_replicas(now);
}

takeover::actions takeover::send_order(instant now)
{
    phase_ = order_is_fence_ ? phase::fencing : phase::ordering;
    phase_since_ = now;
    ordered_at_ = now;
    order_in_flight_ = true;
    actions out{{kind::order, target_}};
    if (!order_is_fence_)
        command_silent_primary(out, kind::step_down, 0, now);
    return out;
}

takeover::actions takeover::on_ordered(order_outcome outcome, instant now)
{
    if (phase_ != phase::ordering && phase_ != phase::fencing)
        return {};
    order_in_flight_ = false;
    ordered_at_ = now;
    if (outcome == order_outcome::refused)
        return give_up("the promotion order was refused", now);
    if (outcome == order_outcome::unknown)
    {
        order_outcome_unknown_ = true;
        // A late copy of the fence would undo the step down that follows, as
        // both have the same token. The next attempt has a higher token.
        if (phase_ == phase::fencing)
            return give_up("a promotion order for the primary may be pending",
                           now);
        return {{kind::ask_status, target_}};
    }
    if (outcome != order_outcome::done)
        return {};
    // Orders with a lower token are refused from now on.
    task_.pending_.ordered_.reset();
    if (phase_ == phase::ordering)
    {
        accepted_at_ = now;
        return {};
    }
    order_is_fence_ = false;
    phase_ = phase::fenced;
    phase_since_ = now;
    return {};
}

takeover::actions takeover::repeat_order(instant now)
{
    if (order_in_flight_ || now - ordered_at_ < options_.order_repeat_ms_)
        return {};
    ordered_at_ = now;
    order_in_flight_ = true;
    return {{kind::order, target_}};
}

takeover::actions takeover::demote_returned_primary(member_state& member)
{
    // A primary that came back would acknowledge changes that the promotion
    // discards.
    bool is_primary =
        member.status_.primary_ && member.status_.term_ < pause_term_;
    // A pending order for this endpoint is harmless only while it is primary.
    bool no_pending_order = task_.pending_.ordered_ != member.info_.id_;
    if (!is_primary || !no_pending_order)
        return {};
    return {{kind::step_down, member.info_.id_, pause_term_}};
}

takeover::actions takeover::tick_ordering(instant now)
{
    bool accepted = accepted_at_ != never;
    if (accepted && now - accepted_at_ >= options_.promotion_ms_)
        return give_up("the accepted promotion had no effect", now);
    actions out = accepted ? await_promotion(now) : repeat_order(now);
    command_silent_primary(out, kind::step_down, options_.repeat_ms_, now);
    for (auto& member : members_)
    {
        if (member.info_.id_ == target_ ||
            now - member.asked_at_ < options_.repeat_ms_)
            continue;
        member.asked_at_ = now;
        actions command =
            member.answered_ ? demote_returned_primary(member) : actions{};
        if (command.empty())
            command.push_back({kind::pause, member.info_.id_, pause_term_});
        out.insert(out.end(), command.begin(), command.end());
    }
    return out;
}

takeover::actions takeover::await_promotion(instant now)
{
    member_state* target = find(target_);
    if (now - target->asked_at_ < options_.promotion_poll_ms_)
        return {};
    target->asked_at_ = now;
    return {{kind::ask_status, target_}};
}

takeover::actions takeover::on_target_status(const endpoint_status& status,
                                             instant now)
{
    bool is_primary = status.primary_ && status.term_ > newest_seen_term_;
    if (!is_primary)
        return {};
    promoted_term_ = status.term_;
    // A promotion does not end pauses that name a later term than its own.
    // Those replicas must be resumed explicitly.
    resume_after_promotion_ = status.term_ < pause_term_;
    return finish(target_, "the ordered endpoint is primary", now);
}

} // namespace tanagerspan
