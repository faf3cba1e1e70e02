#ifndef TANAGERSPAN_STATE_INSTANT_H
#define TANAGERSPAN_STATE_INSTANT_H

// The time type of all decisions: a point on the monotonic clock of this
// process, in milliseconds. Instants of different processes are never
// compared, since no decision relies on another host's clock.
//
//   instant deadline = now + 250;
//   std::int64_t left_ms = deadline - now;

#include <compare>
#include <cstdint>

namespace tanagerspan
{

/// A point in time on this process's monotonic clock, in milliseconds.
struct instant
{
    std::int64_t ms_ = 0;

    // The linter mistakes `= default` for a null pointer constant.
    auto operator<=>(const instant&) const = default; // NOLINT
};

constexpr instant operator+(instant at, std::int64_t span_ms)
{
    return instant{at.ms_ + span_ms};
}

constexpr instant operator-(instant at, std::int64_t span_ms)
{
    return instant{at.ms_ - span_ms};
}

/// Returns the milliseconds from `earlier` to `later`.
constexpr std::int64_t operator-(instant later, instant earlier)
{
    return later.ms_ - earlier.ms_;
}

/// Earlier than every other instant; marks an event that has not happened.
constexpr instant never{-1'000'000'000'000};

} // namespace tanagerspan

#endif
