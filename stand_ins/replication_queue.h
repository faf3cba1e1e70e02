#ifndef TANAGERSPAN_STAND_INS_REPLICATION_QUEUE_H
#define TANAGERSPAN_STAND_INS_REPLICATION_QUEUE_H

// The follower's side of a stand-in's asynchronous replication: what was
// received is applied `lag_ms` later, in order. No I/O.

#include <deque>

#include "stand_ins/member_state.h"

namespace tanagerspan
{

class replication_queue
{
public:
    /// What to ask the primary next: what comes after all that was received.
    pull_request next_pull(const member_state& state) const;

    void on_answer(member_state& state, const pull_request& asked,
                   const pull_answer& got, std::int64_t lag_ms, instant now);

    /// Applies what is due. True if the log changed.
    bool apply_due(member_state& state, instant now);

    /// When the next piece is due; `never` if none waits.
    instant next_due() const
    {
        return waiting_.empty() ? never : waiting_.front().due_;
    }

private:
    struct piece
    {
        instant due_;
        pull_request asked_;
        pull_answer got_;
    };

    std::deque<piece> waiting_;
};

} // namespace tanagerspan

#endif
