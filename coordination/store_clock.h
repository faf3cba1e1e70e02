#ifndef TANAGERSPAN_COORDINATION_STORE_CLOCK_H
#define TANAGERSPAN_COORDINATION_STORE_CLOCK_H

// Tells when the store gave an answer, on this host's clock.
//
// A call may be held up on the way to the store and its answer on the way back,
// for seconds and without a failure. The time at which an answer arrives
// therefore says little about the age of its content. Each answer states the
// store's steady clock, and the store gives no answer before its call was sent.
// So each call bounds the offset between the two clocks, and the best bound of
// recent calls dates all answers.
//
//   instant given = clock.given_at(sent_at, answer.now_ms_, now);
//
// No I/O; the caller passes the time. Not thread safe.

#include <cstdint>
#include <optional>

#include "state/instant.h"

namespace tanagerspan
{

class store_clock
{
public:
    struct options
    {
        /// A bound is used for one to two windows. Two steady clocks drift
        /// apart by less than 0.1 ms a second.
        std::int64_t window_ms_ = 300'000;
    };

    explicit store_clock(options opts) : options_(opts)
    {
    }

    /// Returns the earliest time at which the store can have given an answer:
    /// from `sent_at` to `received_at`. `store_ms`: the store's clock in the
    /// answer; 0 if it is not stated.
    instant given_at(instant sent_at, std::int64_t store_ms,
                     instant received_at);

    /// As `given_at`, for an answer that another host received from the store:
    /// dates it by the bounds of this host's own calls and changes none.
    /// Nothing if there is no recent bound, or if the answer would be from the
    /// future.
    std::optional<instant> relayed_given_at(std::int64_t store_ms,
                                            instant received_at) const;

    /// Call when the store's clock may have another origin than before.
    void reset();

private:
    options options_;
    /// The lower bounds of this host's clock less the store's.
    std::optional<std::int64_t> bound_;
    std::optional<std::int64_t> previous_bound_; ///< of the window before
    instant window_started_ = never;
};

} // namespace tanagerspan

#endif
