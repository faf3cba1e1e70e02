#ifndef TANAGERSPAN_COORDINATION_FRESHNESS_MARKS_H
#define TANAGERSPAN_COORDINATION_FRESHNESS_MARKS_H

// Proofs of how far the log of one service had to be read at which time.
//
// An endpoint that accepts a write, a commit or the begin of a transaction
// that may write was the primary at that moment. So if it was asked at `t`
// and answered with log position P, every commit acknowledged before t lies
// at or before P. A read that any endpoint runs only if its log holds P has
// therefore seen all that was acknowledged before t, whatever its lag. What
// an endpoint merely says of itself proves nothing and makes no mark.
//
//   marks.add(asked_at, answer.position);
//   if (auto mark = marks.covering(now - max_staleness)) ... read after it
//
// Marks of a term that has ended hold too, but a later term may have cut the
// log before their position; reads then find no endpoint and go to the
// primary. Not thread safe.

#include <cstdint>
#include <deque>
#include <optional>
#include <vector>

#include "state/instant.h"
#include "state/log_position.h"

namespace tanagerspan
{

/// Every commit acknowledged before `asked_` lies at or before `position_`.
struct freshness_mark
{
    instant asked_;
    log_position position_;

    bool operator==(const freshness_mark&) const = default;
};

class freshness_marks
{
public:
    struct options
    {
        /// Marks closer together than this are dropped: it bounds their
        /// number and costs that much freshness at most.
        std::int64_t min_gap_ms_ = 20;
        /// Older marks are dropped: beyond any staleness bound in use.
        std::int64_t keep_ms_ = 10'000;
    };

    explicit freshness_marks(options opts) : options_(opts)
    {
    }

    /// `asked` is when the question went out, not when it was answered.
    void add(instant asked, log_position at);

    /// The earliest known mark that covers all commits acknowledged before
    /// `since`: the earlier its position, the more replicas have it.
    std::optional<freshness_mark> covering(instant since) const;

    /// When the newest mark was asked for.
    std::optional<instant> newest() const;

    /// At most `most` of them, spread over the time they cover.
    std::vector<freshness_mark> sample(std::size_t most) const;

    std::size_t size() const
    {
        return marks_.size();
    }

private:
    options options_;
    std::deque<freshness_mark> marks_; // by time of asking
};

} // namespace tanagerspan

#endif
