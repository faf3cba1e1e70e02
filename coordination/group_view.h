#ifndef TANAGERSPAN_COORDINATION_GROUP_VIEW_H
#define TANAGERSPAN_COORDINATION_GROUP_VIEW_H

// What one proxy knows about one database group, and what follows from it.
//
// The control thread publishes a `group_view` whenever an answer changes it;
// traffic threads only read it. Every fact is a member's own answer with the
// time at which this proxy sent the status request, so that bounds on age
// depend on this proxy's clock only.
//
// Reads and writes rely on two conclusions:
//
//  * `is_confirmed`: a majority of members hold the log up to a position of
//    one term. A member refuses replication of a term once it has promised a
//    higher one, so it held the position before any such promise. The majority
//    of any later promotion shares a member with this one, and a promotion
//    chooses the highest position, which keeps the entry. A primary that was
//    replaced cannot reach a majority, so its writes cannot be confirmed.
//  * `current_since`: the latest time at which the primary of a term was
//    certainly not replaced: a majority including the primary had promised no
//    higher term when asked at or after that time.

#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "state/endpoint_records.h"
#include "state/instant.h"

namespace tanagerspan
{

/// The last answer of one member.
struct member_view
{
    std::string name_;
    std::string address_;
    member_status status_;
    instant asked_ = never;    ///< when the status request was sent
    instant answered_ = never; ///< when the answer arrived
};

/// At time `at_` no acknowledged write was beyond `position_`.
struct age_mark
{
    instant at_;
    log_position position_;
};

struct group_view
{
    std::string service_;
    std::vector<member_view> members_;
    /// The oldest first; both fields increase.
    std::vector<age_mark> marks_;

    std::size_t majority() const
    {
        return members_.size() / 2 + 1;
    }

    /// The index of the member that reports itself as primary with the highest
    /// term.
    std::optional<std::size_t> primary() const;

    /// The highest term that any member has promised.
    std::uint64_t highest_promised() const;

    std::optional<std::size_t> find(std::string_view member) const;
};

/// Whether a majority holds `position`, which member `reported_by` reported.
/// The primary of the position's term holds it by definition.
bool is_confirmed(const group_view& view, log_position position,
                  std::size_t reported_by);

/// The latest time at which the primary of `term` was certainly not replaced,
/// as defined at the head of this file. Returns `never` if the view shows no
/// primary of `term` or no majority that has promised `term`.
instant current_since(const group_view& view, std::uint64_t term);

/// An upper bound on the age of data at `position`, in ms; nullopt if unknown.
std::optional<std::int64_t> age_bound_ms(const group_view& view,
                                         log_position position, instant now);

} // namespace tanagerspan

#endif
