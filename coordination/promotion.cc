#include "coordination/promotion.h"

#include <algorithm>

namespace tanagerspan
{

promotion::promotion(options opts, instant now)
    : options_(std::move(opts)), started_at_(now), promises_(options_.members_)
{
}

std::vector<promotion::message> promotion::tick(instant now)
{
    std::vector<message> out;
    if (phase_ == phase::done || phase_ == phase::failed)
        return out;
    if (now - started_at_ >= options_.attempt_timeout_ms_)
    {
        phase_ = phase::failed;
        return out;
    }
    if (phase_ == phase::fencing)
        choose(now);
    if (now - sent_at_ < options_.resend_ms_)
        return out;
    sent_at_ = now;
    if (phase_ == phase::ordering)
    {
        out.push_back({step::lead, *chosen_, options_.order_});
        return out;
    }
    for (std::size_t i = 0; i < promises_.size(); ++i)
    {
        if (!promises_[i])
            out.push_back({step::promise, i, options_.order_});
    }
    return out;
}

void promotion::on_answer(step kind, std::size_t member,
                          const member_status& status)
{
    if (phase_ == phase::done || phase_ == phase::failed)
        return;
    if (!is_of_this_attempt(status))
    {
        // The member has promised a higher term, which fails the attempt, or
        // this term to another claimant, which fails the attempt only if the
        // member is the chosen one.
        if (status.promised_ > options_.order_.term_ ||
            (chosen_ && *chosen_ == member))
            phase_ = phase::failed;
        return;
    }
    if (kind == step::lead && status.leading_)
    {
        phase_ = phase::done;
        return;
    }
    if (phase_ != phase::fencing)
        return;
    promises_[member] = status;
}

bool promotion::is_of_this_attempt(const member_status& status) const
{
    return status.promised_ == options_.order_.term_ &&
           status.claimant_ == options_.order_.claimant_;
}

bool promotion::is_counted(std::size_t member, instant now) const
{
    return promises_[member] &&
           (options_.suspect_ != member ||
            now - started_at_ >= options_.suspect_grace_ms_);
}

void promotion::choose(instant now)
{
    std::size_t count = 0;
    for (std::size_t i = 0; i < promises_.size(); ++i)
        count += is_counted(i, now) ? 1 : 0;
    if (count < options_.members_ / 2 + 1)
        return;
    // Wait a short time for the member that the operator named.
    bool preferred_missing =
        options_.preferred_ && !promises_[*options_.preferred_];
    if (preferred_missing && now - started_at_ < options_.suspect_grace_ms_)
        return;
    auto better = [this](std::size_t a, std::size_t b)
    {
        const auto& left = *promises_[a];
        const auto& right = *promises_[b];
        if (left.position_ != right.position_)
            return left.position_ > right.position_;
        if (options_.preferred_ == a || options_.preferred_ == b)
            return options_.preferred_ == a;
        return !left.leaving_ && right.leaving_;
    };
    for (std::size_t i = 0; i < promises_.size(); ++i)
    {
        if (is_counted(i, now) && (!chosen_ || better(i, *chosen_)))
            chosen_ = i;
    }
    phase_ = phase::ordering;
    sent_at_ = never;
}

} // namespace tanagerspan
