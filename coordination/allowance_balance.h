#ifndef TANAGERSPAN_COORDINATION_ALLOWANCE_BALANCE_H
#define TANAGERSPAN_COORDINATION_ALLOWANCE_BALANCE_H

// The tokens that one host holds for one client account, and how many more it
// requests: one for each operation that waits. Requesting more for expected
// operations would let tokens of small accounts expire unused.
//
// A token is valid for a short time after the host requested it. In any window,
// the operations of all hosts are therefore at most what was granted in the
// window and that time before it. A host that was suspended holds no valid
// token when it wakes, because the clock includes the suspension.
//
// Pure; the caller passes the time. Not thread safe.

#include <cstdint>
#include <deque>

#include "state/instant.h"

namespace tanagerspan
{

class allowance_balance
{
public:
    struct options
    {
        /// Validity of a token, counted from the request. Must be less than the
        /// tolerated excess of an allowance times its window.
        std::int64_t validity_ms_ = 400;
    };

    explicit allowance_balance(options opts) : options_(opts)
    {
    }

    /// Spends a token. Returns false if there is no valid one.
    bool try_spend(instant now);

    /// How many tokens to request while `waiting` operations wait for one;
    /// 0 if the balance and the pending requests suffice.
    std::int64_t wanted(std::int64_t waiting, instant now);

    /// Records a request for `tokens` and, later, its end with what was
    /// granted.
    void on_requested(std::int64_t tokens);
    void on_granted(std::int64_t requested, std::int64_t granted,
                    instant requested_at);

    /// Whether the host neither holds nor requests tokens.
    bool is_unused(instant now);

private:
    struct grant
    {
        std::int64_t tokens_;
        instant valid_until_;
    };

    void drop_expired(instant now);

    options options_;
    std::deque<grant> grants_; ///< in the order of their end
    std::int64_t held_ = 0;
    std::int64_t pending_ = 0;
};

} // namespace tanagerspan

#endif
