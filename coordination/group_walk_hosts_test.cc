// The hosts of a walk: their observations, claims, requests and answers.

#include <algorithm>

#include "coordination/group_walk_test.h"

namespace tanagerspan
{
namespace
{

// A later answer is dropped, as the host has replaced the link by then.
constexpr std::int64_t answer_ms = 500;

} // namespace

void group_walk::change_hosts()
{
    if (!options_.hosts_fail_)
        return;
    host& at = hosts_[pick(hosts_.size())];
    if (at.frozen_ || chance(60))
    {
        at.frozen_ = !at.frozen_;
        note((at.frozen_ ? "freezes " : "wakes ") + at.name_);
        return;
    }
    at.attempt_.reset();
    note("dies " + at.name_);
}

void group_walk::see_endpoints(host& at)
{
    std::vector<std::string> joined;
    std::vector<endpoint_entry> listed;
    for (const auto& one : members_)
    {
        if (!one.listed_)
            continue;
        listed.push_back({.id_ = one.id_,
                          .service_ = "s",
                          .address_ = one.id_,
                          .leaving_ = one.leaving_});
        bool known = std::any_of(at.listed_.begin(), at.listed_.end(),
                                 [&one](const endpoint_entry& before)
                                 {
                                     return before.id_ == one.id_;
                                 });
        if (!known)
            joined.push_back(one.id_);
    }
    at.listed_ = std::move(listed);
    at.departed_.update(at.listed_, now_);
    at.departed_.bound_logs(at.marks_);
    for (const auto& id : joined)
    {
        if (at.attempt_ && !at.frozen_)
            perform(at, at.attempt_->on_joined(id, now_));
    }
}

void group_walk::see(host& at)
{
    see_endpoints(at);
    if (at.row_version_ != row_version_)
    {
        at.row_ = row_;
        at.row_version_ = row_version_;
        at.row_seen_ = now_;
    }
}

void group_walk::claim(host& at)
{
    bool open = row_.stage_ == "claimed" || row_.stage_ == "ordered";
    std::int64_t wait = open ? 7500 : 1500;
    if (at.row_seen_ != never && now_ - at.row_seen_ < wait)
        return;
    takeover_row next = make_claim_row(at.row_, now_ - at.row_seen_, at.name_);
    question one{.host_ = static_cast<std::size_t>(&at - hosts_.data()),
                 .attempt_ = 0,
                 .asked_ = now_,
                 .row_ = next,
                 .row_version_ = at.row_version_};
    at.claimed_at_ = now_;
    one.action_.kind_ = kind::record_target;
    one.action_.detail_ = "claim";
    questions_.push_back(std::move(one));
}

void group_walk::perform(host& at, const std::vector<takeover_action>& actions)
{
    for (const auto& action : actions)
    {
        question one{.host_ = static_cast<std::size_t>(&at - hosts_.data()),
                     .attempt_ = at.attempt_number_,
                     .action_ = action,
                     .token_ = at.token_,
                     .asked_ = now_};
        bool writes = true;
        switch (action.kind_)
        {
        case kind::record_target:
            one.row_ =
                make_order_row(at.row_, action.endpoint_id_, action.term_,
                               action.floor_, takeover::options{}.lease_ms_);
            break;
        case kind::record_end:
            one.row_ = make_end_row(at.row_, action.endpoint_id_,
                                    at.attempt_->pending_at(now_));
            break;
        case kind::finish:
            note(at.name_ + " ends: " + action.detail_ + " " +
                 action.endpoint_id_);
            one.row_ = make_end_row(at.row_, action.endpoint_id_,
                                    at.attempt_->pending_at(now_));
            if (action.keep_row_)
                one.action_.detail_ = "row stands";
            break;
        default:
            writes = false;
        }
        one.row_version_ = at.row_version_;
        if (writes && at.row_.token_ != at.token_)
        {
            one.done_ = true; // superseded
            one.recorded_ = false;
        }
        if (action.kind_ == kind::finish)
        {
            at.attempt_.reset();
            if (!action.keep_row_ && !one.done_)
                questions_.push_back(std::move(one));
            return;
        }
        questions_.push_back(std::move(one));
    }
}

void group_walk::carry_out_row(question& one)
{
    if (one.done_)
        return;
    bool applied = one.row_version_ == row_version_;
    if (options_.lost_rows_ && chance(3))
        applied = false; // never arrived
    if (applied)
    {
        row_ = one.row_;
        row_changed_ = now_;
        ++row_version_;
    }
    one.recorded_ = applied;
    one.answered_ = !options_.lost_rows_ || !chance(4);
}

void group_walk::carry_out_question(question& one)
{
    one.done_ = true;
    const takeover_action& action = one.action_;
    switch (action.kind_)
    {
    case kind::record_target:
    case kind::record_end:
    case kind::finish:
        one.done_ = false;
        carry_out_row(one);
        one.done_ = true;
        return;
    case kind::order:
    {
        bool late = options_.late_promotions_ && chance(30);
        one.answered_ = !late;
        if (late)
            late_.push_back(
                {now_ + 2000 + static_cast<std::int64_t>(pick(10'000)), action,
                 one.token_});
        else
            one.outcome_ = call_platform(action, one.token_);
        note("order " + action.endpoint_id_ + (late ? " late" : "") +
             " token " + std::to_string(one.token_));
        return;
    }
    default:
        break;
    }
    int at = member_of(action.endpoint_id_);
    bool reached = at != nobody && members_[at].alive_ && members_[at].answers_;
    bool late = reached && action.kind_ != kind::ask_status &&
                options_.late_orders_ && chance(12);
    one.answered_ = reached && !late && !chance(3);
    if (late)
        late_.push_back(
            {now_ + 2000 + static_cast<std::int64_t>(pick(10'000)), action, 0});
    else if (reached)
        carry_out(action);
    if (reached)
        one.status_ = status_of(members_[at]);
    if (keep_trace_)
        note("question " + std::to_string(static_cast<int>(action.kind_)) +
             " " + action.endpoint_id_ + " term " +
             std::to_string(action.term_) + (late ? " late" : "") +
             (one.answered_ ? " answered" : " unanswered"));
}

void group_walk::deliver(std::size_t index)
{
    question one = questions_[index];
    questions_.erase(questions_.begin() + static_cast<std::ptrdiff_t>(index));
    host& at = hosts_[one.host_];
    if (one.action_.detail_ == "claim")
    {
        if (!one.recorded_ || !one.answered_ || at.attempt_ ||
            now_ - at.claimed_at_ > 1000 || one.asked_ != at.claimed_at_)
            return;
        at.row_ = one.row_;
        at.row_version_ = row_version_;
        if (row_.token_ != one.row_.token_)
            return;
        at.row_seen_ = now_;
        at.token_ = one.row_.token_;
        ++at.attempt_number_;
        see(at);
        std::vector<takeover_member> known = at.departed_.members();
        for (const auto& entry : at.listed_)
            known.push_back({.id_ = entry.id_, .leaving_ = entry.leaving_});
        constexpr takeover_reason reasons[] = {
            takeover_reason::leaving, takeover_reason::silent,
            takeover_reason::stuck, takeover_reason::unfinished,
            takeover_reason::no_primary};
        int believed = leader_ != nobody && chance(85) ? leader_ : last_leader_;
        takeover_reason reason = reasons[pick(std::size(reasons))];
        note(at.name_ + " claims, token " + std::to_string(at.token_) + " " +
             std::string(name_of(reason)) + " primary " +
             members_[believed].id_ + " row " + encode(at.row_).dump());
        at.attempt_ = std::make_unique<takeover>(
            takeover::options{},
            takeover_task{
                .reason_ = reason,
                .primary_id_ = members_[believed].id_,
                .members_ = std::move(known),
                .pending_ = pending_commands_of(at.row_, now_ - at.claimed_at_),
                .floor_ = at.row_.floor_,
                .term_ = at.row_.term_,
                .claimed_at_ = at.claimed_at_});
        return perform(at, at.attempt_->start(now_));
    }
    bool current = at.attempt_ && at.attempt_number_ == one.attempt_;
    bool row = one.action_.kind_ == kind::record_target ||
               one.action_.kind_ == kind::record_end ||
               one.action_.kind_ == kind::finish;
    bool applied = one.recorded_ && one.answered_;
    if (row && applied && at.row_version_ == one.row_version_)
    {
        at.row_ = one.row_;
        at.row_version_ = one.row_version_ + 1;
        at.row_seen_ = now_;
    }
    if (!current)
        return;
    if (row)
        return perform(at,
                       one.action_.kind_ == kind::record_end
                           ? at.attempt_->on_end_recorded(applied, now_)
                           : at.attempt_->on_target_recorded(applied, now_));
    if (one.action_.kind_ == kind::order)
        return perform(at, at.attempt_->on_ordered(
                               one.answered_ ? one.outcome_
                                             : takeover::order_outcome::unknown,
                               now_));
    bool in_time = now_ - one.asked_ <= answer_ms;
    perform(at, at.attempt_->on_status(one.action_.endpoint_id_,
                                       one.answered_ && in_time ? one.status_
                                                                : std::nullopt,
                                       now_));
}

} // namespace tanagerspan
