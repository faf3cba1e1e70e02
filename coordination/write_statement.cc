#include "coordination/write_statement.h"

#include <algorithm>

namespace tanagerspan
{

statement_action write_statement::step(const group_view& view, instant now)
{
    if (answer_)
        return *answer_;
    return committed_ ? confirm(view, now) : choose_member(view, now);
}

statement_action write_statement::choose_member(const group_view& view,
                                                instant now)
{
    if (now >= options_.deadline_)
        return finish_failed(
            {error_code::deadline_passed,
             "last failure: " + std::string(name_of(last_cause_.code_))});
    if (now < not_before_)
        return wait_for_view{std::min(not_before_, options_.deadline_)};
    auto primary = view.primary();
    if (!primary)
        return wait_for_view{options_.deadline_};
    std::uint64_t term = view.members_[*primary].status_.promised_;
    if (options_.pinned_term_ && term != *options_.pinned_term_)
        return finish_failed(
            {error_code::fenced, "the transaction's primary was replaced"});
    if (term < min_term_)
        return wait_for_view{options_.deadline_};
    member_ = *primary;
    sent_term_ = term;
    ++attempts_;
    return send_attempt{.member_ = member_, .term_ = term};
}

statement_action write_statement::confirm(const group_view& view, instant now)
{
    const auto& position = committed_->position_;
    if (is_confirmed(view, position, member_))
    {
        answer_ = statement_answer{.outcome_ = outcome::done,
                                   .position_ = position,
                                   .results_ = committed_->results_,
                                   .replayed_ = committed_->replayed_,
                                   .served_by_ = view.members_[member_].name_,
                                   .age_ms_ = 0,
                                   .attempts_ = attempts_};
        return *answer_;
    }
    failure cause{error_code::unconfirmed,
                  "committed by the primary, but not confirmed by a majority"};
    auto primary = view.primary();
    bool replaced =
        primary && view.members_[*primary].status_.promised_ > position.term_;
    if (replaced && may_resend())
    {
        // The new primary may or may not hold the write; its record of
        // request ids decides when the write is sent again.
        outcome_unknown_ = true;
        committed_.reset();
        last_cause_ = cause;
        return choose_member(view, now);
    }
    if (replaced || now >= options_.deadline_)
    {
        outcome_unknown_ = true;
        return finish_failed(cause);
    }
    return wait_for_view{options_.deadline_};
}

statement_action write_statement::finish_failed(failure cause)
{
    answer_ = statement_answer{.outcome_ = outcome_unknown_ ? outcome::unknown
                                                            : outcome::not_run,
                               .failure_ = std::move(cause),
                               .attempts_ = attempts_};
    return *answer_;
}

void write_statement::on_attempt(const attempt_result& got, instant now)
{
    if (got)
    {
        committed_ = *got;
        return;
    }
    const failure& cause = got.error();
    last_cause_ = cause;
    not_before_ = now + options_.backoff_ms_ * std::min(attempts_, 5);
    if (is_endpoint_refusal(cause.code_))
    {
        on_refusal(cause, now);
        return;
    }
    if (is_not_sent(cause.code_))
    {
        if (cause.code_ == error_code::queue_full)
            static_cast<void>(finish_failed(cause));
        return;
    }
    outcome_unknown_ = true;
    if (!may_resend())
        static_cast<void>(finish_failed(cause));
}

void write_statement::on_refusal(const failure& cause, instant now)
{
    switch (cause.code_)
    {
    case error_code::not_primary:
    case error_code::fenced:
        // Waits until the view shows a later term than the refused one.
        min_term_ = std::max(min_term_, sent_term_ + 1);
        not_before_ = now;
        if (options_.pinned_term_)
            static_cast<void>(finish_failed(cause));
        return;
    case error_code::conflict:
    case error_code::malformed:
    case error_code::unknown_transaction:
        static_cast<void>(finish_failed(cause));
        return;
    default:
        return;
    }
}

} // namespace tanagerspan
