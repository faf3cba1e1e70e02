#include "transport/monotonic_clock.h"

#include <chrono>

namespace tanagerspan
{

std::int64_t monotonic_us()
{
    auto since = std::chrono::steady_clock::now().time_since_epoch();
    return std::chrono::duration_cast<std::chrono::microseconds>(since).count();
}

instant monotonic_now()
{
    constexpr std::int64_t us_per_ms = 1000;
    return instant{monotonic_us() / us_per_ms};
}

} // namespace tanagerspan
