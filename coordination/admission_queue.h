#ifndef TANAGERSPAN_COORDINATION_ADMISSION_QUEUE_H
#define TANAGERSPAN_COORDINATION_ADMISSION_QUEUE_H

// Who gets the next free slot of one member.
//
// Work waits in order of its class's priority, then of arrival. Priority 0
// is never overtaken: a gate check waits for at most the statement that is
// running. Among the other priorities one that has waited `aging_ms` goes
// first, so that none starves behind another. Work whose deadline passes
// while it waits is refused as not run, which is true: nothing was sent.
//
// Not thread safe; see transport/slot_limiter.h for the locked form.

#include <cstdint>
#include <list>
#include <optional>
#include <vector>

#include "state/failure.h"
#include "state/instant.h"

namespace tanagerspan
{

class admission_queue
{
public:
    struct options
    {
        std::int64_t slots_ = 1;
        std::size_t max_waiting_ = 200;
        std::int64_t aging_ms_ = 1000;
    };

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

    /// Queues the work. In a full queue it takes the place of the latest of
    /// the least urgent, whose id comes back and which is to be refused.
    /// Errors: queue_full, deadline_passed.
    result<std::optional<std::uint64_t>> offer(ticket work, instant now);

    /// Work that gets a slot now; each must be given back by `release`.
    std::vector<std::uint64_t> grant(instant now);

    /// Takes out and names the work whose deadline has passed.
    std::vector<std::uint64_t> expire(instant now);

    /// Takes out work that no longer wants a slot.
    void withdraw(std::uint64_t id);

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
    std::list<ticket>::iterator next(instant now);

    options options_;
    std::list<ticket> waiting_; // in order of arrival
    std::int64_t running_ = 0;
};

} // namespace tanagerspan

#endif
