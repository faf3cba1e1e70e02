#ifndef TANAGERSPAN_COORDINATION_GROUP_VIEW_H
#define TANAGERSPAN_COORDINATION_GROUP_VIEW_H

// What one proxy knows of one database group, and what may be concluded.
//
// The control thread publishes a `group_view` whenever an answer changes it;
// traffic threads read it and never write it. Each fact is a member's own
// answer with the time at which this proxy had *asked*, so that a conclusion
// such as "no older than" needs this proxy's clock alone.
//
// The two conclusions that everything rests on:
//
//  * `is_confirmed`: a majority of members hold the log up to a position of
//    one term. A member refuses replication of a term once it has promised a
//    higher one, so it held the position before any such promise. Any
//    majority that a later promotion gathers meets this one, and the choice
//    by highest position then keeps the entry. A primary that was replaced
//    cannot reach a majority any more, so it cannot be confirmed.
//  * `current_since`: the latest time at which the primary of a term was
//    certainly not yet replaced: a majority, with the primary, had promised
//    no higher term when asked at or after that time.

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
    instant asked_ = never;    ///< when the question was sent
    instant answered_ = never; ///< when the answer arrived
};

/// At `at_`, no acknowledged write lay past `position_`.
struct freshness_mark
{
    instant at_;
    log_position position_;
};

struct group_view
{
    std::string service_;
    std::vector<member_view> members_;
    /// Oldest first; both fields rise.
    std::vector<freshness_mark> marks_;

    std::size_t majority() const
    {
        return members_.size() / 2 + 1;
    }

    /// Index of the primary of the highest term seen leading.
    std::optional<std::size_t> primary() const;

    /// The highest term that any member has promised.
    std::uint64_t highest_promised() const;

    std::optional<std::size_t> find(std::string_view member) const;
};

/// Whether a majority holds `position`, which was seen at member `seen_at`.
/// The primary of the position's term holds it by definition.
bool is_confirmed(const group_view& view, log_position position,
                  std::size_t seen_at);

/// See above; `never` when it cannot be concluded.
instant current_since(const group_view& view, std::uint64_t term);

/// A bound on the age of data at `position`, in ms; none if not known.
std::optional<std::int64_t> age_bound_ms(const group_view& view,
                                         log_position position, instant now);

} // namespace tanagerspan

#endif
