#ifndef TANAGERSPAN_STATE_LOG_POSITION_H
#define TANAGERSPAN_STATE_LOG_POSITION_H

// A point in the replicated log of a database group: the term of the last
// entry and the count of entries up to it. Positions order by term first.
//
// Invariant used everywhere: a primary starts its term with an entry of its
// own, and its log holds every acknowledged entry of the terms before. So a
// member whose last entry is of term T and index i holds all acknowledged
// entries at or before (T, i) in this order, also those of lower terms.

#include <compare>
#include <cstdint>

namespace tanagerspan
{

/// The end of a log prefix: term of its last entry, number of entries.
struct log_position
{
    std::uint64_t term_ = 0;
    std::uint64_t index_ = 0;

    // This linter version takes the default for a null pointer.
    auto operator<=>(const log_position&) const = default; // NOLINT
};

} // namespace tanagerspan

#endif
