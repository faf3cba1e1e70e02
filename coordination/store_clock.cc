#include "coordination/store_clock.h"

#include <algorithm>

namespace tanagerspan
{
namespace
{

// Both clocks are read in whole milliseconds.
constexpr std::int64_t rounding_ms = 2;

} // namespace

instant store_clock::given_at(instant sent_at, std::int64_t store_ms,
                              instant received_at)
{
    if (store_ms <= 0)
        return sent_at;
    if (received_at - window_started_ >= options_.window_ms_)
    {
        previous_bound_ = bound_;
        bound_.reset();
        window_started_ = received_at;
    }
    std::int64_t own_bound = sent_at.ms_ - store_ms;
    std::int64_t best = std::max({own_bound, bound_.value_or(own_bound),
                                  previous_bound_.value_or(own_bound)});
    instant given{store_ms + best};
    if (given - received_at > rounding_ms)
    {
        // The store's clock was set forward.
        reset();
        bound_ = own_bound;
        return sent_at;
    }
    bound_ = std::max(own_bound, bound_.value_or(own_bound));
    return std::min(given, received_at);
}

std::optional<instant> store_clock::relayed_given_at(std::int64_t store_ms,
                                                     instant received_at) const
{
    std::int64_t window_age_ms = received_at - window_started_;
    std::optional<std::int64_t> best;
    if (window_age_ms < 2 * options_.window_ms_)
        best = bound_;
    if (window_age_ms < options_.window_ms_ && previous_bound_)
        best = std::max(*previous_bound_, best.value_or(*previous_bound_));
    if (store_ms <= 0 || !best)
        return std::nullopt;
    instant given{store_ms + *best};
    if (given - received_at > rounding_ms)
        return std::nullopt;
    return std::min(given, received_at);
}

void store_clock::reset()
{
    bound_.reset();
    previous_bound_.reset();
}

} // namespace tanagerspan
