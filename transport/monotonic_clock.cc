#include "transport/monotonic_clock.h"

#include <ctime>

namespace tanagerspan
{

std::int64_t monotonic_us()
{
    // CLOCK_MONOTONIC, and so std::chrono::steady_clock, stops while a host is
    // suspended, which would make ages too small.
    timespec now{};
    clock_gettime(CLOCK_BOOTTIME, &now);
    constexpr std::int64_t us_per_s = 1'000'000;
    constexpr std::int64_t ns_per_us = 1000;
    return now.tv_sec * us_per_s + now.tv_nsec / ns_per_us;
}

instant monotonic_now()
{
    constexpr std::int64_t us_per_ms = 1000;
    return instant{monotonic_us() / us_per_ms};
}

} // namespace tanagerspan
