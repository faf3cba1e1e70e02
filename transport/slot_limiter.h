#ifndef TANAGERSPAN_TRANSPORT_SLOT_LIMITER_H
#define TANAGERSPAN_TRANSPORT_SLOT_LIMITER_H

// The locked form of `admission`: a traffic thread waits here for a slot of
// one member. Thread safe.

#include <condition_variable>
#include <map>
#include <mutex>

#include "coordination/admission.h"

namespace tanagerspan
{

class slot_limiter
{
public:
    explicit slot_limiter(admission::options opts) : admission_(opts)
    {
    }

    /// Waits for a slot. Errors: queue_full, deadline_passed; nothing was
    /// sent then.
    result<void> acquire(std::int64_t priority, instant deadline);

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

    void grant_locked(instant now);

    mutable std::mutex mutex_;
    std::condition_variable changed_;
    admission admission_;
    std::map<std::uint64_t, ticket_state> tickets_;
    std::uint64_t next_id_ = 1;
};

} // namespace tanagerspan

#endif
