#ifndef TANAGERSPAN_COORDINATION_ADMISSION_QUEUE_H
#define TANAGERSPAN_COORDINATION_ADMISSION_QUEUE_H

// Queue for the slots of one member: decides which waiting statement gets the
// next free slot.
//
// Statements are served by the priority of their service class, then by
// arrival. Nothing overtakes priority 0: such a statement waits at most for
// the statement that is running. Among the other priorities, a statement that
// has waited for `aging_ms_` goes first, so that none starves. A statement
// whose deadline passes in the queue is refused as `not_run`; nothing of it was
// sent.
//
// Not thread safe; transport/slot_limiter.h has the locked version.

#include <cstdint>
#include <list>
#include <optional>
#include <vector>

#include "state/failure.h"
#include "state/instant.h"

namespace tanagerspan
{

/// Statements that hold or wait for slots, by id.
class admission_queue
{
public:
    struct options
    {
        std::int64_t slots_ = 1;
        std::size_t max_waiting_ = 200;
        /// A statement that has waited this long goes before all but
        /// priority 0.
        std::int64_t aging_ms_ = 1000;
    };

    /// One waiting statement; `offer` sets `arrived_`.
    struct ticket
    {
        std::uint64_t id_ = 0;
        std::int64_t priority_ = 5; ///< 0 goes first
        instant deadline_{};
        instant arrived_{};
    };

    explicit admission_queue(options opts) : options_(opts)
    {
    }

    /// Adds a statement to the queue. In a full queue it displaces the latest
    /// of the least urgent statements, if that is less urgent; its id is
    /// returned, and the caller must refuse it. Errors: queue_full,
    /// deadline_passed.
    result<std::optional<std::uint64_t>> offer(ticket work, instant now);

    /// The ids that get a slot now; `release` returns each slot.
    std::vector<std::uint64_t> grant(instant now);

    /// Removes the statements whose deadline has passed and returns their ids.
    std::vector<std::uint64_t> expire(instant now);

    /// Removes a statement that no longer needs a slot.
    void withdraw(std::uint64_t id);

    /// Returns one granted slot.
    void release()
    {
        --running_;
    }

    void set_slots(std::int64_t slots)
    {
        options_.slots_ = slots;
    }
    std::int64_t running() const
    {
        return running_;
    }
    std::size_t waiting() const
    {
        return waiting_.size();
    }

private:
    /// The waiting statement that gets the next slot.
    std::list<ticket>::iterator next(instant now);

    options options_;
    std::list<ticket> waiting_; // in order of arrival
    std::int64_t running_ = 0;
};

} // namespace tanagerspan

#endif
