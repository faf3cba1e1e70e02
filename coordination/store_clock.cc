#include "coordination/store_clock.h"

#include <algorithm>

namespace tanagerspan
{

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
    // Both clocks are read in whole milliseconds.
    constexpr std::int64_t rounding_ms = 2;
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

void store_clock::reset()
{
    bound_.reset();
    previous_bound_.reset();
}

} // namespace tanagerspan
