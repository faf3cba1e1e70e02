#ifndef TANAGERSPAN_COORDINATION_PROMOTION_H
#define TANAGERSPAN_COORDINATION_PROMOTION_H

// One attempt of one proxy to give a group a new primary.
//
// The members' own terms settle it, without the platform:
//   1. claim:  ask every member to promise a term higher than any seen;
//   2. fence:  a majority has promised, so the old primary can no longer be
//              confirmed; the promises carry the members' log positions, read
//              after the promise;
//   3. choose: the highest position among the promises. The suspect primary
//      does not count at first: cut off from its group it has the highest
//      position and would be chosen for ever. The highest of any majority is
//      safe; only if the others make none in time is the suspect counted;
//   4. order:  tell that member, and never another, to lead the term.
//
// Invariants: a term is used for at most one attempt of one claimant; within
// an attempt the chosen member never changes. Every step may be repeated,
// arrive late or lose its answer: members answer a repeated promise or order
// of the same claimant as they did the first time, and refuse any of a lower
// term. A claimant that was paused and wakes late is refused, or orders a
// member that no majority follows, whose writes are never confirmed.

#include <optional>
#include <string>
#include <vector>

#include "state/endpoint_records.h"
#include "state/instant.h"

namespace tanagerspan
{

class promotion
{
public:
    struct options
    {
        std::size_t members_ = 0;
        term_order order_{};
        std::optional<std::size_t> preferred_{}; ///< taken on equal position
        std::optional<std::size_t> suspect_{};   ///< the primary that failed
        std::int64_t suspect_grace_ms_ = 300;
        std::int64_t attempt_ms_ = 1000;
        std::int64_t resend_ms_ = 150;
    };

    enum class phase
    {
        fencing,
        ordering,
        done,
        failed
    };

    enum class step
    {
        promise,
        lead
    };

    struct message
    {
        step step_;
        std::size_t member_;
        term_order order_;
    };

    promotion(options opts, instant now);

    /// Messages to send now: first ones, and repeats after `resend_ms_`.
    std::vector<message> tick(instant now);

    /// A member's answer to a promise or an order of this attempt.
    void on_answer(step kind, std::size_t member, const member_status& status);

    phase current() const
    {
        return phase_;
    }
    const term_order& order() const
    {
        return options_.order_;
    }
    std::optional<std::size_t> chosen() const
    {
        return chosen_;
    }

private:
    bool is_ours(const member_status& status) const;
    bool counts(std::size_t member, instant now) const;
    void choose(instant now);

    options options_;
    phase phase_ = phase::fencing;
    instant started_;
    instant sent_ = never;
    std::vector<std::optional<member_status>> promises_;
    std::optional<std::size_t> chosen_;
};

} // namespace tanagerspan

#endif
