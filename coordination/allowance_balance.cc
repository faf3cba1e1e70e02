#include "coordination/allowance_balance.h"

#include <algorithm>

namespace tanagerspan
{

void allowance_balance::drop_expired(instant now)
{
    while (!grants_.empty() && grants_.front().valid_until_ <= now)
    {
        held_ -= grants_.front().tokens_;
        grants_.pop_front();
    }
}

bool allowance_balance::try_spend(instant now)
{
    drop_expired(now);
    if (grants_.empty())
        return false;
    --held_;
    if (--grants_.front().tokens_ == 0)
        grants_.pop_front();
    return true;
}

std::int64_t allowance_balance::wanted(std::int64_t waiting, instant now)
{
    drop_expired(now);
    return std::max<std::int64_t>(waiting - held_ - pending_, 0);
}

void allowance_balance::on_requested(std::int64_t tokens)
{
    pending_ += tokens;
}

void allowance_balance::on_granted(std::int64_t requested, std::int64_t granted,
                                   instant requested_at)
{
    pending_ -= requested;
    if (granted <= 0)
        return;
    grant added{granted, requested_at + options_.validity_ms_};
    auto later =
        std::upper_bound(grants_.begin(), grants_.end(), added,
                         [](const grant& one, const grant& other)
                         {
                             return one.valid_until_ < other.valid_until_;
                         });
    grants_.insert(later, added);
    held_ += granted;
}

bool allowance_balance::is_unused(instant now)
{
    drop_expired(now);
    return grants_.empty() && pending_ == 0;
}

} // namespace tanagerspan
