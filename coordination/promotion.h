#ifndef TANAGERSPAN_COORDINATION_PROMOTION_H
#define TANAGERSPAN_COORDINATION_PROMOTION_H

// One attempt of one proxy to give a group a new primary.
//
// The attempt uses the members' own terms and does not need the platform:
//   1. claim:  ask every member to promise a term higher than any known term;
//   2. fence:  once a majority has promised, writes of the old primary can no
//              longer be confirmed. Each promise carries the member's log
//              position, read after the promise;
//   3. choose: take the highest position among the promises. At first the
//              suspected primary is not counted: if it is cut off from its
//              group, it has the highest position and would be chosen in every
//              attempt. The highest position of any majority is safe, so the
//              suspect is counted only if the other members do not form a
//              majority in time;
//   4. order:  tell the chosen member, and no other, to be primary of the term.
//
// Invariants: a term is used for at most one attempt of one claimant, and the
// chosen member never changes within an attempt. Every message may be repeated,
// arrive late or lose its answer: members answer a repeated promise or order of
// the same claimant as they did the first time, and refuse those of a lower
// term. A claimant that was suspended and continues late is refused, or orders
// a member that no majority follows, whose writes are never confirmed.

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
        /// Chosen among members with equal positions.
        std::optional<std::size_t> preferred_{};
        std::optional<std::size_t> suspect_{}; ///< the primary that failed
        std::int64_t suspect_grace_ms_ = 300;
        std::int64_t attempt_timeout_ms_ = 1000;
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
        promise, ///< promise the term
        lead     ///< be primary of the term
    };

    struct message
    {
        step step_;
        std::size_t member_;
        term_order order_;
    };

    promotion(options opts, instant now);

    /// The messages to send now, including repeats after `resend_ms_`.
    std::vector<message> tick(instant now);

    /// A member's answer to a message of this attempt.
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
    bool is_of_this_attempt(const member_status& status) const;
    bool is_counted(std::size_t member, instant now) const;
    void choose(instant now);

    options options_;
    phase phase_ = phase::fencing;
    instant started_at_;
    instant sent_at_ = never;
    std::vector<std::optional<member_status>> promises_;
    std::optional<std::size_t> chosen_;
};

} // namespace tanagerspan

#endif
