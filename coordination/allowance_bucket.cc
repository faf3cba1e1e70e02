#include "coordination/allowance_bucket.h"

#include <algorithm>
#include <cmath>

namespace tanagerspan
{
namespace
{

constexpr double ms_per_s = 1000;

} // namespace

void allowance_buckets::start(instant now)
{
    buckets_.clear();
    started_at_ = now;
}

allowance_grant allowance_buckets::take(const std::string& account,
                                        const account_limits& limits,
                                        std::int64_t wanted, instant now)
{
    constexpr auto slices = static_cast<double>(allowance_slices);
    if (!limits.rate_per_s_)
        return {.tokens_ = wanted};
    auto window_ms = static_cast<double>(options_.window_ms_);
    double per_window =
        *limits.rate_per_s_ * window_ms / ms_per_s + limits.burst_;
    double rate_per_ms = per_window / window_ms / slices;
    auto [at, added] = buckets_.try_emplace(account);
    bucket& own = at->second;
    if (added)
        own = {.level_ = options_.initial_tokens_, .filled_at_ = started_at_};
    auto elapsed_ms = static_cast<double>(now - own.filled_at_);
    own.level_ =
        std::min(own.level_ + elapsed_ms * rate_per_ms, options_.capacity_);
    own.filled_at_ = now;
    auto available = static_cast<std::int64_t>(std::floor(own.level_));
    allowance_grant out{.tokens_ =
                            std::clamp<std::int64_t>(wanted, 0, available)};
    own.level_ -= static_cast<double>(out.tokens_);
    if (out.tokens_ >= wanted)
        return out;
    constexpr std::int64_t no_rate_retry_ms = 1000;
    out.retry_after_ms_ = rate_per_ms > 0 ? static_cast<std::int64_t>(std::ceil(
                                                (1 - own.level_) / rate_per_ms))
                                          : no_rate_retry_ms;
    return out;
}

void allowance_buckets::keep_only(
    const std::map<std::string, account_limits>& accounts)
{
    std::erase_if(buckets_,
                  [&](const auto& one)
                  {
                      return !accounts.contains(one.first);
                  });
}

} // namespace tanagerspan
