#include "coordination/read_statement.h"

#include <algorithm>

namespace tanagerspan
{

namespace
{

// A replica that has not answered for this long gets no new reads.
constexpr std::int64_t max_replica_silence_ms = 1500;

} // namespace

statement_action read_statement::step(const group_view& view, instant now)
{
    if (answer_)
        return *answer_;
    return read_answer_ ? release(view, now) : choose_member(view, now);
}

statement_action read_statement::choose_member(const group_view& view,
                                               instant now)
{
    if (now >= options_.deadline_)
        return finish_failed(
            {error_code::deadline_passed,
             "last failure: " + std::string(name_of(last_cause_.code_))});
    if (attempts_ >= options_.max_attempts_)
        return finish_failed(last_cause_);
    if (now < not_before_)
        return wait_for_view{std::min(not_before_, options_.deadline_)};
    auto primary = view.primary();
    auto replica = choose_replica(view, now);
    if (!replica && !primary)
        return wait_for_view{options_.deadline_};
    std::size_t chosen = replica ? *replica : *primary;
    at_replica_ = replica.has_value();
    const auto& status = view.members_[chosen].status_;
    bool behind = status.position_ < options_.at_least_;
    // The group cannot have issued a position of a term that is later than
    // any that its members have seen.
    if (!at_replica_ && behind &&
        options_.at_least_.term_ > view.highest_promised() &&
        current_since(view, status.promised_) >= options_.started_)
        return finish_failed(
            {error_code::future_position,
             "the token's position is later than the group's"});
    member_ = chosen;
    sent_ = now;
    ++attempts_;
    return send_attempt{.member_ = member_,
                        .term_ = status.promised_,
                        .at_least_ = options_.at_least_,
                        .wait_ms_ = behind ? std::min(options_.replica_wait_ms_,
                                                      options_.deadline_ - now)
                                           : 0};
}

std::optional<std::size_t>
read_statement::choose_replica(const group_view& view, instant now) const
{
    if (!replica_allowed())
        return std::nullopt;
    std::vector<std::size_t> ready;
    for (std::size_t i = 0; i < view.members_.size(); ++i)
    {
        const auto& member = view.members_[i];
        bool avoided =
            std::find(avoided_members_.begin(), avoided_members_.end(), i) !=
            avoided_members_.end();
        if (avoided || member.status_.leading_ || member.status_.leaving_ ||
            member.answered_ == never ||
            now - member.answered_ > max_replica_silence_ms)
            continue;
        if (member.status_.position_ < options_.at_least_)
            continue;
        auto age = age_bound_ms(view, member.status_.position_, now);
        if (options_.max_age_ms_ > 0 && (!age || *age > options_.max_age_ms_))
            continue;
        ready.push_back(i);
    }
    if (ready.empty())
        return std::nullopt;
    return ready[(options_.seed_ + static_cast<std::uint64_t>(attempts_)) %
                 ready.size()];
}

read_statement::answer_check
read_statement::check_answer(const group_view& view, instant now) const
{
    const auto& position = read_answer_->position_;
    if (position < options_.at_least_)
        return answer_check::reject;
    auto primary = view.primary();
    if (primary && view.members_[*primary].status_.promised_ > position.term_)
        return answer_check::reject;
    // An answer can pass its age bound while it waits to be confirmed; then
    // the read is repeated.
    if (options_.max_age_ms_ > 0 && now - sent_ > options_.max_age_ms_)
        return answer_check::reject;
    if (!is_confirmed(view, position, member_))
        return answer_check::wait;
    return is_fresh_enough(view, now) ? answer_check::release
                                      : answer_check::wait;
}

std::optional<std::int64_t> read_statement::age_of(const group_view& view,
                                                   instant now) const
{
    auto age = age_bound_ms(view, read_answer_->position_, now);
    instant since = current_since(view, read_answer_->position_.term_);
    if (at_replica_ || since == never)
        return age;
    // The primary's answer includes every write that was acknowledged before
    // the read was sent, unless the primary had been replaced by then. The age
    // therefore counts from the earlier of both times.
    std::int64_t by_confirmation = now - std::min(since, sent_);
    return std::min(age.value_or(by_confirmation), by_confirmation);
}

bool read_statement::is_fresh_enough(const group_view& view, instant now) const
{
    if (options_.max_age_ms_ > 0)
    {
        auto age = age_of(view, now);
        return age && *age <= options_.max_age_ms_;
    }
    if (options_.replica_reads_ && options_.has_token_)
        return true;
    return !at_replica_ && current_since(view, read_answer_->position_.term_) >=
                               options_.started_;
}

statement_action read_statement::release(const group_view& view, instant now)
{
    answer_check check = check_answer(view, now);
    if (check == answer_check::release)
    {
        auto age = age_of(view, now);
        answer_ = statement_answer{.outcome_ = outcome::done,
                                   .position_ = read_answer_->position_,
                                   .results_ = read_answer_->results_,
                                   .by_replica_ = at_replica_,
                                   .served_by_ = view.members_[member_].name_,
                                   .age_ms_ = age.value_or(-1),
                                   .attempts_ = attempts_};
        return *answer_;
    }
    if (check == answer_check::reject ||
        (at_replica_ && now - sent_ >= options_.replica_wait_ms_ * 2))
    {
        last_cause_ = {error_code::unconfirmed,
                       "the answer was too old or not confirmed"};
        avoided_members_.push_back(member_);
        read_answer_.reset();
        not_before_ = at_replica_ ? now : now + options_.backoff_ms_;
        return choose_member(view, now);
    }
    if (now >= options_.deadline_)
        return finish_failed(
            {error_code::unconfirmed,
             "no majority confirmed the answer before the deadline"});
    instant until = options_.deadline_;
    if (at_replica_)
        until = std::min(until, sent_ + options_.replica_wait_ms_ * 2);
    return wait_for_view{until, true};
}

statement_action read_statement::finish_failed(failure cause)
{
    // A read has no effect, so `not_run` is always true.
    answer_ = statement_answer{.outcome_ = outcome::not_run,
                               .failure_ = std::move(cause),
                               .attempts_ = attempts_};
    return *answer_;
}

void read_statement::on_attempt(const attempt_result& got, instant now)
{
    if (got)
    {
        read_answer_ = *got;
        return;
    }
    last_cause_ = got.error();
    bool no_room = got.error().code_ == error_code::queue_full && !at_replica_;
    if (got.error().code_ == error_code::malformed || no_room)
    {
        static_cast<void>(finish_failed(got.error()));
        return;
    }
    if (at_replica_)
        avoided_members_.push_back(member_);
    else
        not_before_ = now + options_.backoff_ms_ * attempts_;
}

} // namespace tanagerspan
