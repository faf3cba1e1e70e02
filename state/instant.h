#ifndef TANAGERSPAN_STATE_INSTANT_H
#define TANAGERSPAN_STATE_INSTANT_H

// The project's one clock type: a point on a process's own monotonic clock,
// in milliseconds. Points of different processes are never compared; no
// decision trusts another machine's clock.
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

    // This linter version takes the default for a null pointer.
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

/// The span between two points of the same clock, in milliseconds.
constexpr std::int64_t operator-(instant later, instant earlier)
{
    return later.ms_ - earlier.ms_;
}

/// Before every other point: "has never happened".
constexpr instant never{-1'000'000'000'000};

} // namespace tanagerspan

#endif
