#ifndef TANAGERSPAN_COORDINATION_FRESHNESS_MARKS_H
#define TANAGERSPAN_COORDINATION_FRESHNESS_MARKS_H

// Upper bounds on the log positions of commits, by time of acknowledgement,
// for one service.
//
// An endpoint that accepts a write, a commit or the begin of a transaction
// that may write was the primary at that moment. So if the request was sent
// at time t and the answer has log position P, every commit acknowledged
// before t is at or before P. A read that an endpoint runs only if its log
// includes P therefore sees everything acknowledged before t, whatever the
// endpoint's replication lag. An endpoint's own claim to be the primary proves
// nothing and adds no mark.
//
//   marks.add(asked_at, answer.position);
//   if (auto mark = marks.covering(now - max_staleness)) ... read after it
//
// Marks of an ended term remain valid, but a later primary's log may end
// before their position. Reads then find no endpoint that has the position
// and go to the primary.
//
// Not thread safe.

#include <cstdint>
#include <deque>
#include <optional>
#include <vector>

#include "state/instant.h"
#include "state/log_position.h"

namespace tanagerspan
{

/// Every commit acknowledged before `asked_` is at or before `position_`.
struct freshness_mark
{
    instant asked_;
    log_position position_;

    bool operator==(const freshness_mark&) const = default;
};

/// The recent marks of one service.
class freshness_marks
{
public:
    struct options
    {
        /// Marks closer together than this are merged. This bounds the
        /// number of marks and costs at most this much freshness.
        std::int64_t min_gap_ms_ = 20;
        /// Older marks are dropped; longer than any staleness bound in use.
        std::int64_t keep_ms_ = 10'000;
    };

    explicit freshness_marks(options opts) : options_(opts)
    {
    }

    /// `asked` is the time when the request was sent, not that of its answer.
    void add(instant asked, log_position position);

    /// The earliest mark that covers all commits acknowledged before `since`:
    /// the earlier its position, the more replicas have it.
    std::optional<freshness_mark> covering(instant since) const;

    /// The time when the request of the newest mark was sent.
    std::optional<instant> newest() const;

    /// At most `most` marks, evenly spread and with the newest among them.
    std::vector<freshness_mark> sample(std::size_t most) const;

    std::size_t size() const
    {
        return marks_.size();
    }

private:
    options options_;
    std::deque<freshness_mark> marks_; // by `asked_`
};

} // namespace tanagerspan

#endif
