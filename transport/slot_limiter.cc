#include "transport/slot_limiter.h"

#include <algorithm>
#include <chrono>

#include "transport/monotonic_clock.h"

namespace tanagerspan
{

result<void> slot_limiter::acquire(std::int64_t priority, instant deadline)
{
    std::unique_lock lock(mutex_);
    std::uint64_t id = next_id_++;
    instant now = monotonic_now();
    auto offered = admission_.offer(
        {.id_ = id, .priority_ = priority, .deadline_ = deadline}, now);
    if (!offered)
        return tl::unexpected(offered.error());
    if (*offered)
    {
        tickets_[**offered] = ticket_state::displaced;
        changed_.notify_all();
    }
    tickets_[id] = ticket_state::waiting;
    grant_slots(now);
    while (tickets_[id] == ticket_state::waiting)
    {
        now = monotonic_now();
        if (now >= deadline)
        {
            admission_.withdraw(id);
            tickets_.erase(id);
            return fail(error_code::deadline_passed, "no slot became free");
        }
        changed_.wait_for(lock, std::chrono::milliseconds(deadline - now));
    }
    bool granted = tickets_[id] == ticket_state::granted;
    tickets_.erase(id);
    if (!granted)
        return fail(error_code::queue_full,
                    "displaced by a statement of higher priority");
    return {};
}

void slot_limiter::grant_slots(instant now)
{
    auto granted = admission_.grant(now);
    for (auto id : granted)
        tickets_[id] = ticket_state::granted;
    if (!granted.empty())
        changed_.notify_all();
}

void slot_limiter::release()
{
    std::lock_guard lock(mutex_);
    admission_.release();
    grant_slots(monotonic_now());
}

std::int64_t slot_limiter::running() const
{
    std::lock_guard lock(mutex_);
    return admission_.running();
}

std::size_t slot_limiter::waiting() const
{
    std::lock_guard lock(mutex_);
    return admission_.waiting();
}

} // namespace tanagerspan
