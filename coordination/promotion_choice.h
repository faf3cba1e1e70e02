#ifndef TANAGERSPAN_COORDINATION_PROMOTION_CHOICE_H
#define TANAGERSPAN_COORDINATION_PROMOTION_CHOICE_H

// Decides which endpoint can be promoted without losing an acknowledged change.
//
// A change is acknowledged once the primary and one replica have it in their
// logs. A log therefore contains every acknowledged change if
//
//   - it reaches the end of the log of a primary that has stepped down: that
//     log is complete for its term, and nothing is acknowledged after the step
//     down; or

//   - no endpoint that may have received a change has a longer log, and none
//     of these logs can grow. This needs a complete list of the endpoints: one
//     that joined a moment ago may have confirmed a change.
//
// The second rule needs the log position of every other endpoint but the
// primary. If an
// endpoint does not answer, its log is ignored only when the endpoint has left
// the group and the candidate's log contains a position that the primary's log
// had after that: everything that the departed endpoint received is older.
//
// Logs are compared by the newest term that their endpoints know, then by
// length. Within a term every log is a prefix of the primary's. A change that
// was confirmed in an earlier term is in the log with which the later term
// started, up to the floor: the end of the last promoted endpoint's log when it
// was ordered. A candidate's log must therefore contain the floor. This
// excludes a replica that missed a whole term, whichever other endpoints
// answer, and a replica whose log diverged from the promoted endpoint's.
//
// A log that is never read would keep the group without a primary for ever.
// Once the group has been without one for longer than a crashed endpoint takes
// to come back, the logs of departed endpoints without an answer count as lost:
// nobody can read the changes that only they had.
//
// While a promotion order may be pending, only its target can be promoted,
// because an order cannot be cancelled.
//
// Pure. Any thread.

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "state/log_position.h"

namespace tanagerspan
{

/// What is known about the log of an endpoint that may have confirmed changes.
struct replica_log
{
    std::string id_;
    std::optional<log_position> received_{}; ///< nullopt: no answer
    std::uint64_t term_ = 0; ///< the newest term that the endpoint knows
    /// Replication is paused, and no resume command can be pending.
    bool fixed_ = false;
    bool leaving_ = false;
    bool listed_ = true; ///< only a listed endpoint can be promoted
    /// For an endpoint that is not listed: a position of the primary's log
    /// after the endpoint had left, which bounds what it received.
    std::optional<log_position> received_bound_{};
};

struct promotion_evidence
{
    std::vector<replica_log> logs_; ///< of all but a primary without an answer
    /// The primary that stepped down; its log is among `logs_`.
    std::optional<std::string> stepped_down_{};
    /// `logs_` has every endpoint that had joined before the primary stepped
    /// down or was last heard of. Another one may have confirmed changes.
    bool members_complete_ = true;
    /// What endpoints received that are no longer in the group and not among
    /// `logs_` is at or before this position.
    log_position departed_bound_{};
    /// The host does not know which endpoint is the primary, so the primary's
    /// log is among `logs_`. One log may then be unknown: an acknowledged
    /// change is in those of the primary and of a replica.
    bool primary_unknown_ = false;
    /// Departed endpoints without an answer are lost, with their logs.
    bool unread_logs_lost_ = false;
    log_position floor_{};
    std::uint64_t floor_term_ = 0; ///< the term that started at the floor
    /// The target of a promotion order that may still take effect.
    std::optional<std::string> ordered_before_{};
};

/// Why an endpoint cannot be promoted.
enum class promotion_obstacle
{
    none,
    no_answer,
    log_unknown,  ///< an endpoint without an answer may have a longer log
    log_may_grow, ///< another log may still grow
    behind,       ///< another log is longer
    /// An endpoint that is not known may have confirmed what the log lacks.
    members_unknown,
    below_floor,  ///< the log does not contain the start of the last term
    order_pending ///< an order for another endpoint may be pending
};

std::string_view name_of(promotion_obstacle obstacle);

struct promotion_choice
{
    std::string id_; ///< empty: no endpoint is proven to be safe
    promotion_obstacle why_not_ = promotion_obstacle::none;
    /// Another endpoint may be chosen once the members are complete.
    bool needs_members_ = false;
};

/// Chooses among the endpoints that can be promoted: first the target of a
/// pending order, then an endpoint that is not leaving, then one other than the
/// primary that stepped down, then the longest log. If there is none,
/// `why_not_` is the obstacle of the longest log.
promotion_choice choose_promotion(const promotion_evidence& known);

} // namespace tanagerspan

#endif
