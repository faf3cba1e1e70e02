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
    for (const auto& member : task_.members_)
        members_.push_back({.info_ = member});
}

takeover::member_state* takeover::find(const std::string& id)
{
    for (auto& member : members_)
    {
        if (member.info_.id_ == id)
            return &member;
    }
    return nullptr;
}

bool takeover::is_replica(const member_state& member) const
{
    // A primary that has stepped down, also in an earlier attempt, is treated
    // as a replica.
    return member.info_.id_ != task_.primary_id_ || member.seen_as_replica_;
}

std::vector<takeover::member_state*> takeover::replicas()
{
    std::vector<member_state*> out;
    for (auto& member : members_)
    {
        if (is_replica(member))
            out.push_back(&member);
    }
    return out;
}

bool takeover::lease_expired(instant now) const
{
    return now - task_.claimed_at_ >= options_.lease_ms_;
}

takeover::actions takeover::start(instant now)
{
    phase_since_ = now;
    actions out;
    for (auto& member : members_)
    {
        member.asked_at_ = now;
        out.push_back({kind::ask_status, member.info_.id_});
    }
    if (members_.empty())
        return finish("", "no endpoint is known", now);
    return out;
}

bool takeover::is_new_primary(const std::string& id,
                              const endpoint_status& status) const
{
    return status.primary_ && id != task_.primary_id_ &&
           status.term_ >= newest_seen_term_;
}

takeover::actions takeover::on_status(const std::string& id,
                                      std::optional<endpoint_status> status,
                                      instant now, answer_path path)
{
    member_state* member = find(id);
    if (member == nullptr || finished() || phase_ == phase::recording_end)
        return {};
    if (phase_ == phase::resuming)
        return on_resume_answer(*member,
                                status && status->paused_by_term_ == 0);
    member->answered_ = status.has_value();
    member->failed_ = !status;
    if (status)
    {
        member->status_ = *status;
        member->path_ = path;
        member->seen_as_replica_ =
            member->seen_as_replica_ || !status->primary_;
    }
    if (phase_ == phase::inspecting)
        return evaluate_inspection(now);
    if (phase_ == phase::ordering && id == target_)
        return status ? on_target_status(*status, now) : actions{};
    if (phase_ == phase::ordering)
        return status ? demote_returned_primary(*member) : actions{};
    // An order of an earlier attempt took effect in the meantime.
    if (status && is_new_primary(id, *status))
        return task_.pending_.ordered_.value_or(id) == id
                   ? finish(id, "another endpoint is already primary", now)
                   : give_up("another endpoint than the ordered one is primary",
                             now);
    if (phase_ == phase::comparing)
        return evaluate_comparison(now);
    if (phase_ == phase::demoting)
    {
        if (id != task_.primary_id_ || !status || status->primary_)
            return {};
        stepped_down_ = true;
        stepped_down_at_ = step_down_confirmed_at_ = now;
        phase_ = phase::settling;
        phase_since_ = now;
        return {};
    }
    if (phase_ == phase::pausing)
        return on_pause_answer(*member, status.has_value(), now);
    return {};
}

takeover::actions takeover::on_refused(const std::string& id, instant now)
{
    if (member_state* member = find(id))
        member->refused_ = true;
    return on_status(id, std::nullopt, now);
}

takeover::actions takeover::evaluate_inspection(instant now)
{
    // A slow primary answers other hosts sooner, but is not cut off from this
    // host.
    bool all =
        std::all_of(members_.begin(), members_.end(),
                    [this](const member_state& member)
                    {
                        bool primary = member.info_.id_ == task_.primary_id_;
                        bool relayed = member.path_ == answer_path::relayed;
                        return member.failed_ ||
                               (member.answered_ && !(primary && relayed));
                    });
    if (!all && now - phase_since_ < options_.inspect_timeout_ms_)
        return {};
    std::uint64_t newest = 0;
    for (const auto& member : members_)
        newest = std::max(newest, member.status_.term_);
    for (const auto& member : members_)
    {
        bool is_primary = member.answered_ && member.status_.primary_ &&
                          member.status_.term_ == newest &&
                          member.info_.id_ != task_.primary_id_;
        if (!is_primary)
            continue;
        // A pending order for another endpoint would discard what this primary
        // acknowledges.
        bool conflicting_order = task_.pending_.ordered_.value_or(
                                     member.info_.id_) != member.info_.id_;
        if (!conflicting_order)
            return finish(member.info_.id_,
                          "another endpoint is already primary", now);
        task_.primary_id_ = member.info_.id_;
    }
    if (newest == 0)
        return give_up("no endpoint answered", now);
    // The promotion starts this term. A pause with a later term would outlast
    // the promotion.
    newest_seen_term_ = newest;
    pause_term_ = std::max(newest, task_.term_) + 1;
    member_state* primary = find(task_.primary_id_);
    if (primary != nullptr && !primary->answered_ && primary->refused_)
        return give_up("the primary is running, but too busy to answer", now);
    if (primary != nullptr && primary->answered_ && primary->status_.primary_)
        return evaluate_primary(*primary, now);
    return pause_replicas(now);
}

takeover::actions takeover::evaluate_primary(member_state& primary, instant now)
{
    // A pending order for another endpoint may still take effect, so that
    // promotion is completed even if this primary works.
    const auto& ordered = task_.pending_.ordered_;
    bool conflicting_order = ordered && *ordered != task_.primary_id_;
    if (conflicting_order || primary.info_.leaving_ ||
        task_.reason_ == takeover_reason::leaving)
        return replace_primary(now);
    if (ordered || task_.reason_ == takeover_reason::no_primary)
        return finish(task_.primary_id_, "the endpoint is primary", now);
    // This host's callers need a primary that this host reaches.
    if (primary.path_ == answer_path::relayed)
        return replace_primary(now);
    return start_comparison(now);
}

takeover::actions takeover::start_comparison(instant now)
{
    phase_ = phase::comparing;
    phase_since_ = now;
    primary_position_ = find(task_.primary_id_)->status_.received_;
    for (member_state* member : replicas())
    {
        member->answered_ = member->failed_ = false;
        member->asked_at_ = never;
    }
    return {};
}

takeover::actions takeover::evaluate_comparison(instant now)
{
    bool all = true;
    bool replica_paused = false;
    for (const member_state* member : replicas())
    {
        if (member->answered_ && member->status_.received_ >= primary_position_)
            return give_up("the primary answers and a replica receives its log",
                           now);
        all = all && (member->answered_ || member->failed_);
        replica_paused =
            replica_paused ||
            (member->answered_ && member->status_.paused_by_term_ != 0);
    }
    bool over = now - phase_since_ >=
                options_.receive_ms_ + options_.inspect_timeout_ms_;
    if (!all && !over)
        return {};
    if (replica_paused)
        return finish(task_.primary_id_,
                      "the primary's replicas were still paused", now);
    // No replica confirms what the primary writes.
    if (!may_replace_primary(now))
        return give_up("no other endpoint is known to have all changes", now);
    return replace_primary(now);
}

bool takeover::may_replace_primary(instant now)
{
    const member_state& primary = *find(task_.primary_id_);
    promotion_evidence known = collect_evidence(now);
    known.stepped_down_ = primary.info_.id_;
    known.members_complete_ = true;
    known.logs_.push_back({.id_ = primary.info_.id_,
                           .received_ = primary.status_.received_,
                           .term_ = primary.status_.term_});
    promotion_choice choice = choose_promotion(known);
    return !choice.id_.empty() && choice.id_ != primary.info_.id_;
}

takeover::actions takeover::replace_primary(instant now)
{
    primary_answered_ = true;
    // A pending order for this primary would undo the step down.
    if (task_.pending_.ordered_ == task_.primary_id_)
    {
        phase_ = phase::recording_target;
        order_is_fence_ = true;
        target_ = task_.primary_id_;
        return {{kind::record_target, target_, newest_seen_term_}};
    }
    step_down_sent_at_ = now;
    return demote(now);
}

takeover::actions takeover::demote(instant now)
{
    phase_ = phase::demoting;
    phase_since_ = now;
    return {{kind::step_down, task_.primary_id_, pause_term_}};
}

takeover::actions takeover::ask_replicas(kind what, std::int64_t after_ms,
                                         instant now)
{
    actions out;
    for (member_state* member : replicas())
    {
        if (now - member->asked_at_ < after_ms)
            continue;
        bool primary = stepped_down_ && member->info_.id_ == task_.primary_id_;
        member->asked_at_ = now;
        out.push_back({primary ? kind::ask_status : what, member->info_.id_,
                       pause_term_});
    }
    return out;
}

takeover::actions takeover::tick(instant now)
{
    bool ending = phase_ == phase::recording_end || phase_ == phase::resuming;
    if (finished())
        return {};
    if (lease_expired(now) && !ending)
        return give_up(obstacle_ == promotion_obstacle::none
                           ? "the lease expired"
                           : "the lease expired; " +
                                 std::string(name_of(obstacle_)),
                       now);
    return tick_phase(now);
}

takeover::actions takeover::tick_phase(instant now)
{
    std::int64_t elapsed_ms = now - phase_since_;
    switch (phase_)
    {
    case phase::inspecting:
        return evaluate_inspection(now);
    case phase::comparing:
    {
        if (elapsed_ms < options_.receive_ms_)
            return {};
        // Each replica is asked once: `start_comparison` reset `asked_at_`.
        actions out = ask_replicas(kind::ask_status, options_.lease_ms_, now);
        return out.empty() ? evaluate_comparison(now) : out;
    }
    case phase::demoting:
        // The primary answered before, but may have crashed since.
        if (now - step_down_sent_at_ >= options_.inspect_timeout_ms_)
            return pause_replicas(now);
        return elapsed_ms < options_.repeat_ms_ ? actions{} : demote(now);
    case phase::settling:
        return elapsed_ms < options_.settle_ms_ ? actions{}
                                                : pause_replicas(now);
    case phase::pausing:
    {
        actions out = check_paused(now);
        if (!out.empty())
            return out;
        out = ask_replicas(kind::pause, options_.repeat_ms_, now);
        command_silent_primary(out, kind::ask_status, options_.repeat_ms_, now);
        return out;
    }
    case phase::listing:
        return request_list(now);
    case phase::ordering:
        return tick_ordering(now);
    case phase::fencing:
        return repeat_order(now);
    case phase::fenced:
        if (elapsed_ms < options_.promotion_ms_)
            return {};
        step_down_sent_at_ = now;
        return demote(now);
    case phase::resuming:
        return resume_replicas(now);
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
    case phase::resuming:
        return {};
    case phase::pausing:
    case phase::recording_target:
    case phase::listing:
    case phase::ordering:
        // Its log is compared with the others before an order is sent. An order
        // that was sent cannot be cancelled, so it must not confirm changes.
        return add_member(id, kind::pause, now);
    default:
        return add_member(id, kind::ask_status, now);
    }
}

void takeover::on_restarted(const takeover_member& former)
{
    if (find(former.id_) == nullptr)
        members_.push_back({.info_ = former, .failed_ = true});
}

takeover::actions takeover::add_member(const std::string& id, kind command,
                                       instant now)
{
    member_state* known = find(id);
    if (known == nullptr)
        members_.push_back({.info_ = {.id_ = id}, .asked_at_ = now});
    else
        known->info_.listed_ = true;
    return {{command, id, pause_term_}};
}

takeover::actions takeover::request_list(instant now)
{
    if (list_requested_at_ != never &&
        now - list_requested_at_ < options_.repeat_ms_)
        return {};
    list_requested_at_ = now;
    return {{kind::list_members}};
}

takeover::actions takeover::on_members_listed(instant requested_at, instant now)
{
    listed_at_ = requested_at;
    if (phase_ == phase::listing && requested_at >= phase_since_)
    {
        actions out = replace_invalid_choice(now);
        return out.empty() ? send_order(now) : out;
    }
    return phase_ == phase::pausing ? check_paused(now) : actions{};
}

} // namespace tanagerspan
