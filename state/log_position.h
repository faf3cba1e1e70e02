#ifndef TANAGERSPAN_STATE_LOG_POSITION_H
#define TANAGERSPAN_STATE_LOG_POSITION_H

// A position in the replicated log of a database group: the term of the last
// entry and the number of entries up to it. Positions are ordered by term,
// then by index.
//
// Invariant: a primary starts its term with an entry of its own, and its log
// contains every acknowledged entry of earlier terms. So an endpoint whose
// last entry has term T and index i has all acknowledged entries at or before
// (T, i) in this order, including those of lower terms.

#include <compare>
#include <cstdint>

namespace tanagerspan
{

/// The end of a log prefix: the term of its last entry and its number of
/// entries.
struct log_position
{
    std::uint64_t term_ = 0;
    std::uint64_t index_ = 0;

    // The linter mistakes `= default` for a null pointer constant.
    auto operator<=>(const log_position&) const = default; // NOLINT
};

} // namespace tanagerspan

#endif
