#include "coordination/admission_queue.h"

#include <algorithm>

namespace tanagerspan
{

result<std::optional<std::uint64_t>> admission_queue::offer(ticket work,
                                                            instant now)
{
    if (now >= work.deadline_)
        return fail(error_code::deadline_passed,
                    "the deadline passed before a slot was requested");
    std::optional<std::uint64_t> displaced;
    if (waiting_.size() >= options_.max_waiting_)
    {
        // The latest of the least urgent statements is displaced, so that many
        // statements of low priority cannot keep an urgent one out.
        auto last = waiting_.begin();
        for (auto at = waiting_.begin(); at != waiting_.end(); ++at)
        {
            if (at->priority_ >= last->priority_)
                last = at;
        }
        if (last == waiting_.end() || last->priority_ <= work.priority_)
            return fail(error_code::queue_full,
                        std::to_string(waiting_.size()) +
                            " statements are already waiting");
        displaced = last->id_;
        waiting_.erase(last);
    }
    work.arrived_ = now;
    waiting_.push_back(work);
    return displaced;
}

std::list<admission_queue::ticket>::iterator admission_queue::next(instant now)
{
    auto rank = [&](const ticket& work) -> std::int64_t
    {
        bool aged =
            work.priority_ > 0 && now - work.arrived_ >= options_.aging_ms_;
        return aged ? 1 : work.priority_ * 2;
    };
    return std::min_element(waiting_.begin(), waiting_.end(),
                            [&](const ticket& a, const ticket& b)
                            {
                                return rank(a) < rank(b);
                            });
}

std::vector<std::uint64_t> admission_queue::grant(instant now)
{
    std::vector<std::uint64_t> out;
    while (running_ < options_.slots_ && !waiting_.empty())
    {
        auto at = next(now);
        out.push_back(at->id_);
        waiting_.erase(at);
        ++running_;
    }
    return out;
}

std::vector<std::uint64_t> admission_queue::expire(instant now)
{
    std::vector<std::uint64_t> out;
    for (auto at = waiting_.begin(); at != waiting_.end();)
    {
        if (now < at->deadline_)
        {
            ++at;
            continue;
        }
        out.push_back(at->id_);
        at = waiting_.erase(at);
    }
    return out;
}

void admission_queue::withdraw(std::uint64_t id)
{
    waiting_.remove_if(
        [id](const ticket& work)
        {
            return work.id_ == id;
        });
}

} // namespace tanagerspan
