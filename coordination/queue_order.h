#ifndef TANAGERSPAN_COORDINATION_QUEUE_ORDER_H
#define TANAGERSPAN_COORDINATION_QUEUE_ORDER_H

// The order in which statements that wait for a connection are served, and
// when a waiting statement is refused.
//
// Lower priority numbers go first. Within a priority, statements that can
// still meet their latency target go before those that can't, and among them
// the one with the least time left. Without this rule an overloaded service
// is late for every caller: the oldest statement is always served first, just
// after it missed its target.
//
// Load shedding: when for seconds more work arrives than an endpoint can do, a
// statement that has waited for half of its timeout while others were served
// is refused, so that its caller has the other half for another attempt. While
// nothing is served, as between the loss of a primary and the promotion of the
// next, statements wait for their whole timeout: they are served as soon as
// anything is.
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

/// Whether to refuse a statement that has waited since `arrived`.
/// `last_served` is the last time that a statement for the same endpoints was
/// served.
inline bool should_shed(instant arrived, std::int64_t timeout_ms,
                        instant last_served, instant now)
{
    // Under load, statements are served at far shorter intervals than this,
    // and no statement is served for longer than this during a takeover.
    constexpr std::int64_t max_serving_gap_ms = 300;
    constexpr std::int64_t shed_timeout_divisor = 2;
    bool serving = now - last_served < max_serving_gap_ms;
    return serving && now - arrived >= timeout_ms / shed_timeout_divisor;
}

} // namespace tanagerspan

#endif
