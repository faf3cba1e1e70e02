#ifndef TANAGERSPAN_COORDINATION_ADMISSION_PLAN_H
#define TANAGERSPAN_COORDINATION_ADMISSION_PLAN_H

// Decides which waiting statements are refused because they cannot be served
// in time.
//
// Load pattern: for seconds, a service gets more work than its endpoints can
// do, for example because the replicas lag and all reads need the primary.
// Waiting then helps no caller: each statement that is served after its
// target latency takes the place of one that could have met it.
//
// The plan assigns the waiting statements to the endpoints in the order in
// which they will be served, at the measured pace of each endpoint. Where a
// statement would start too late to meet its target, the statement with the
// most work among those of the same priority before it is refused, so that the
// most statements meet their targets (the rule of Moore and Hodgson for one
// machine). The work counts less the smaller the share of its route's
// statements that were served lately, so that a route with long statements is
// not refused altogether.
//
// Statements that have already missed their target wait for a gap. They are
// refused once statements that could meet theirs must be refused, because then
// there is no gap, or when the gap would come after their timeout. Where the
// pace of an endpoint is not known, nothing is refused.
//
// Pure functions.

#include <cstddef>
#include <cstdint>
#include <optional>
#include <span>
#include <vector>

#include "coordination/queue_order.h"
#include "state/instant.h"

namespace tanagerspan
{

/// A statement that waits for a connection.
struct waiting_statement
{
    queue_order order_{};
    instant deadline_{};      ///< the end of its timeout
    double work_ms_ = 1;      ///< expected work
    double served_share_ = 1; ///< of its route, 0 to 1
    /// Indexes of the endpoints that may run it. None: it is never refused.
    std::vector<std::size_t> endpoints_{};
};

/// A statement that cannot be served in time.
struct refused_statement
{
    std::size_t index_ = 0;
    std::int64_t expected_wait_ms_ = 0;
    /// The longest wait with which it would have been kept.
    std::int64_t longest_wait_ms_ = 0;
};

/// Returns the statements to refuse, given those that wait in the order in
/// which they will be served. `paces` holds `service_pace::ms_per_work_ms` of
/// each endpoint.
std::vector<refused_statement>
plan_refusals(std::span<const waiting_statement> waiting,
              std::span<const std::optional<double>> paces, instant now);

} // namespace tanagerspan

#endif
