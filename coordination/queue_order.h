#ifndef TANAGERSPAN_COORDINATION_QUEUE_ORDER_H
#define TANAGERSPAN_COORDINATION_QUEUE_ORDER_H

// In which order work that waits for a connection is served, and when it is
// told to come back instead.
//
// Priority goes first. Within one, work that can still be in time goes before
// work that is late, and among those the one with the least time left. Without
// the second rule an overloaded service is late for everyone: the oldest work
// is served first, just after it became late.
//
// The load it answers: for seconds more work comes than an endpoint can do.
// What has waited for half of its timeout while others are being served is
// refused, so that its caller has the other half for another try. While nobody
// is served, as between the loss of a primary and the next one, work waits for
// its whole limit: it will be served as soon as anyone is.
//
// Pure.

#include <cstdint>
#include <tuple>

#include "state/instant.h"

namespace tanagerspan
{

struct queue_order
{
    std::int64_t priority_ = 5; ///< 0 goes first
    instant latest_start_{};    ///< served later than this it is late

    /// Smaller is served sooner.
    auto sort_key(instant now) const
    {
        return std::tuple{priority_, latest_start_ < now, latest_start_};
    }
};

/// Until when work has to be served to be in time.
inline instant latest_start(instant arrived, std::int64_t target_ms)
{
    // The rest of the target is for the answer itself and for the further
    // statements of a transaction. Work served with no time to spare would
    // be late all the same.
    constexpr double waiting_part = 0.6;
    return arrived + static_cast<std::int64_t>(static_cast<double>(target_ms) *
                                               waiting_part);
}

/// `last_served`: when work that needs the same endpoints was served last.
inline bool should_shed(instant arrived, std::int64_t timeout_ms,
                        instant last_served, instant now)
{
    // Gaps between answers under load are far shorter, a takeover is longer.
    constexpr std::int64_t serving_ms = 300;
    constexpr std::int64_t parts = 2;
    bool serving = now - last_served < serving_ms;
    return serving && now - arrived >= timeout_ms / parts;
}

} // namespace tanagerspan

#endif
