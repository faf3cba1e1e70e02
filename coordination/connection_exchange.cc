#include "coordination/connection_exchange.h"

namespace tanagerspan
{

std::optional<std::size_t>
connection_to_exchange(std::span<const idle_connection> idle,
                       std::string_view account, instant waiting_since,
                       instant now, const exchange_limits& limits)
{
    bool claims_any = now - waiting_since >= limits.claim_after_ms_;
    std::optional<std::size_t> oldest;
    for (std::size_t i = 0; i < idle.size(); ++i)
    {
        if (idle[i].account_ == account)
            continue;
        bool unused = now - idle[i].idle_since_ >= limits.give_up_idle_ms_;
        if (!unused && !claims_any)
            continue;
        if (!oldest || idle[i].idle_since_ < idle[*oldest].idle_since_)
            oldest = i;
    }
    return oldest;
}

} // namespace tanagerspan
