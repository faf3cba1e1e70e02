#ifndef TANAGERSPAN_COORDINATION_ALLOWANCE_BUCKET_H
#define TANAGERSPAN_COORDINATION_ALLOWANCE_BUCKET_H

// The token buckets from which the holder of an allowance slice grants
// operations of client accounts to the hosts.
//
// Load: an account sends several times its usual, from many hosts at once. The
// sum over all hosts must stay within the account's limit in every window, so
// hosts run operations only with tokens that one place granted.
//
// An allowance is a number of operations in any window: the rate times the
// window and the burst. The buckets fill at that number per window and hold
// little, so that a steady demand may use all of it.
//
// An allowance is divided into equal slices with one holder each. A new holder
// starts with almost empty buckets: its predecessor may have granted everything
// up to the end of its lease.
//
// Pure; the caller passes the time. Not thread safe.

#include <cstdint>
#include <map>
#include <string>

#include "state/instant.h"
#include "state/service_catalogue.h"

namespace tanagerspan
{

/// The number of equal parts of each allowance. Accounts usually send two
/// thirds of their allowance, so that one of four parts can be missing.
constexpr std::size_t allowance_slices = 4;

struct allowance_grant
{
    std::int64_t tokens_ = 0;
    /// When the next token is available, if fewer were granted than wanted.
    std::int64_t retry_after_ms_ = 0;
};

/// The buckets of one slice.
class allowance_buckets
{
public:
    struct options
    {
        std::int64_t window_ms_ = 5000;
        /// Tokens that a bucket holds, and those with which a new holder
        /// starts. Over all slices, the sum of both is within the slack of an
        /// allowance, which is exceeded by this much at most.
        double capacity_ = 1;
        double initial_tokens_ = 0;
    };

    explicit allowance_buckets(options opts) : options_(opts)
    {
    }

    /// Resets all buckets. Call it when this host becomes the holder.
    void start(instant now);

    /// Grants up to `wanted` operations of an account with these limits, which
    /// are those of the whole allowance.
    allowance_grant take(const std::string& account,
                         const account_limits& limits, std::int64_t wanted,
                         instant now);

    /// Forgets the buckets of accounts that are not in `accounts`.
    void keep_only(const std::map<std::string, account_limits>& accounts);

private:
    struct bucket
    {
        double level_ = 0;
        instant filled_at_ = never;
    };

    options options_;
    instant started_at_ = never;
    std::map<std::string, bucket> buckets_;
};

} // namespace tanagerspan

#endif
