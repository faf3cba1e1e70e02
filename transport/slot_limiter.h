#ifndef TANAGERSPAN_TRANSPORT_SLOT_LIMITER_H
#define TANAGERSPAN_TRANSPORT_SLOT_LIMITER_H

// Thread-safe wrapper of `admission_queue`, in which traffic threads wait for a
// slot of one endpoint.

#include <condition_variable>
#include <map>
#include <mutex>

#include "coordination/admission_queue.h"

namespace tanagerspan
{

class slot_limiter
{
public:
    explicit slot_limiter(admission_queue::options opts) : admission_(opts)
    {
    }

    /// Waits for a slot until `deadline`; 0 is the highest priority. Errors:
    /// queue_full, deadline_passed.
    result<void> acquire(std::int64_t priority, instant deadline);

    /// Gives a slot back; once for each successful `acquire`.
    void release();

    std::int64_t running() const;
    std::size_t waiting() const;

private:
    enum class ticket_state
    {
        waiting,
        granted,
        displaced
    };

    void grant_slots(instant now);

    mutable std::mutex mutex_;
    std::condition_variable changed_;
    admission_queue admission_;
    std::map<std::uint64_t, ticket_state> tickets_;
    std::uint64_t next_id_ = 1;
};

} // namespace tanagerspan

#endif
