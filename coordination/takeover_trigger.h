#ifndef TANAGERSPAN_COORDINATION_TAKEOVER_TRIGGER_H
#define TANAGERSPAN_COORDINATION_TAKEOVER_TRIGGER_H

// Decides when a host claims the takeover of a service.
//
// Every host decides by its own observations. The reason of a claim is only a
// suspicion: the attempt asks the endpoints before it changes anything. Hosts
// claim with delays in a common order (rendezvous hashing), so that usually
// only one of them claims. The claim itself is a compare-and-set on the row, so
// only one host at a time can hold it.
//
// No I/O; the caller passes the time. Control thread only.

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "coordination/freshness_marks.h"
#include "coordination/takeover.h"
#include "coordination/takeover_row.h"
#include "state/instant.h"

namespace tanagerspan
{

/// The state of a service's primary, as one host observes it.
struct primary_health
{
    std::string endpoint_id_; ///< empty: no endpoint is known as primary
    bool listed_ = false;     ///< the endpoint has an entry
    bool leaving_ = false;
    bool unreachable_ = false; ///< connections to it are refused or fail
    instant last_answer_ = never;
    instant unanswered_since_ = never; ///< `never`: no answer is awaited
    instant write_unanswered_since_ = never;
    /// A sample of the marks of the last seconds, the oldest first. Empty while
    /// the primary is healthy.
    std::vector<freshness_mark> marks_{};

    bool operator==(const primary_health&) const = default;
};

class takeover_trigger
{
public:
    struct options
    {
        /// How long connections must fail before a claim. A single refused
        /// connection may be a race with a restart.
        std::int64_t refused_ms_ = 150;
        /// How long no statement is answered before a claim. The slowest
        /// statement behind a full queue is answered within this time.
        std::int64_t silent_ms_ = 700;
        /// The same for writes, which also wait for a replica.
        std::int64_t stuck_ms_ = 1200;
        /// How long no listed endpoint is primary before a claim; a change of
        /// roles takes less.
        std::int64_t no_primary_ms_ = 2000;
        /// Additional delay of a host per rank.
        std::int64_t rank_step_ms_ = 150;
        /// No host claims for this long after the row changed: a promotion
        /// takes about a second, and its outcome is read from the row.
        std::int64_t row_settle_ms_ = 1500;
        /// Applies instead of `row_settle_ms_` if an attempt gave up while its
        /// order may be pending: until the next claim no host keeps the order's
        /// evidence valid.
        std::int64_t pending_settle_ms_ = 50;
        /// A claim that has not ended after this is replaced: the holder's
        /// lease and the time until its change is received here.
        std::int64_t claim_timeout_ms_ = 7500;
    };

    explicit takeover_trigger(options opts) : options_(opts)
    {
    }

    void on_health(const primary_health& health, instant now);
    /// Call when the row was read or written; `now` is when. A row with the
    /// token and stage of the last one doesn't count as a change.
    void on_row(const takeover_row& row, instant now);
    /// Call when this host's attempt under `token` has ended and the row does
    /// not say so. If the attempt recorded no order, this host need not wait
    /// until the claim expires.
    void on_end_not_recorded(std::int64_t token);

    /// The reason to claim now, or nullopt. `rank`: this host's place in the
    /// order of claims for the service, from 0.
    std::optional<takeover_reason> check(std::int64_t rank, instant now) const;

    /// Whether `check` may return a reason later without a further event.
    bool needs_check() const;

private:
    std::optional<takeover_reason> suspected_reason(std::int64_t delay_ms,
                                                    instant now) const;

    options options_;
    primary_health health_;
    instant unreachable_since_ = never;
    instant leaving_since_ = never;
    instant unlisted_since_ = never;
    takeover_row row_;
    instant row_changed_ = never;
    std::int64_t unrecorded_end_ = 0; ///< token of the attempt; 0: none
};

} // namespace tanagerspan

#endif
