#ifndef TANAGERSPAN_TRANSPORT_MONOTONIC_CLOCK_H
#define TANAGERSPAN_TRANSPORT_MONOTONIC_CLOCK_H

// The process's clock. All other code that makes decisions gets the time as an
// argument.

#include "state/instant.h"

namespace tanagerspan
{

/// Returns the current time of this process's monotonic clock.
instant monotonic_now();

/// Returns the same clock's time in microseconds, for measuring latencies.
std::int64_t monotonic_us();

} // namespace tanagerspan

#endif
