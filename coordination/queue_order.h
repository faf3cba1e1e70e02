#ifndef TANAGERSPAN_COORDINATION_QUEUE_ORDER_H
#define TANAGERSPAN_COORDINATION_QUEUE_ORDER_H

// The order in which statements that wait for a connection are served.
//
// Lower priority numbers go first. Within a priority, statements that can
// still meet their latency target go before those that can't, and among them
// the one with the least time left. Without this rule an overloaded service
// is late for every caller: the oldest statement is always served first, just
// after it missed its target. Which statements are refused because they cannot
// be served at all is decided in coordination/admission_plan.h.
//
// Pure functions.

#include <cstdint>
#include <tuple>

#include "state/instant.h"

namespace tanagerspan
{

/// The place of one statement in the queue.
struct queue_order
{
    std::int64_t priority_ = 5; ///< 0 goes first
    instant latest_start_{};    ///< a later start misses the target

    /// The statement with the smallest key is served first.
    auto sort_key(instant now) const
    {
        return std::tuple{priority_, latest_start_ < now, latest_start_};
    }
};

/// The latest time at which a statement can start and meet its target.
inline instant latest_start(instant arrived, std::int64_t target_ms)
{
    // The rest of the target is for running the statement and for further
    // statements of its transaction; without it they would still be late.
    constexpr double waiting_share = 0.6;
    return arrived + static_cast<std::int64_t>(static_cast<double>(target_ms) *
                                               waiting_share);
}

} // namespace tanagerspan

#endif
