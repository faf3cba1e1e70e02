#ifndef TANAGERSPAN_STAND_INS_REPLICATION_QUEUE_H
#define TANAGERSPAN_STAND_INS_REPLICATION_QUEUE_H

// Replica side of the stand-in's asynchronous replication: log entries are
// applied in order, `lag_ms` milliseconds after they were received. No I/O.

#include <deque>

#include "stand_ins/member_state.h"

namespace tanagerspan
{

class replication_queue
{
public:
    /// The next pull request: for the entries after the last one received.
    pull_request next_pull(const member_state& state) const;

    void on_answer(member_state& state, const pull_request& asked,
                   const pull_answer& got, std::int64_t lag_ms, instant now);

    /// Applies all batches that are due. Returns true if the log changed.
    bool apply_due(member_state& state, instant now);

    /// The time when the next batch is due; `never` if the queue is empty.
    instant next_due() const
    {
        return queue_.empty() ? never : queue_.front().due_;
    }

private:
    struct batch
    {
        instant due_;
        pull_request request_;
        pull_answer answer_;
    };

    std::deque<batch> queue_;
};

} // namespace tanagerspan

#endif
