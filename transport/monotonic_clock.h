#ifndef TANAGERSPAN_TRANSPORT_MONOTONIC_CLOCK_H
#define TANAGERSPAN_TRANSPORT_MONOTONIC_CLOCK_H

// The only place where time is read. Decisions take the time as an argument.

#include "state/instant.h"

namespace tanagerspan
{

/// Now, on this process's monotonic clock.
instant monotonic_now();

/// Microseconds on the same clock, for measuring latencies.
std::int64_t monotonic_us();

} // namespace tanagerspan

#endif
