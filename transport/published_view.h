#ifndef TANAGERSPAN_TRANSPORT_PUBLISHED_VIEW_H
#define TANAGERSPAN_TRANSPORT_PUBLISHED_VIEW_H

// The latest group view of one service. The control thread publishes views;
// traffic threads read the latest one or wait for the next. Thread-safe.

#include <chrono>
#include <condition_variable>
#include <memory>
#include <mutex>

#include "coordination/group_view.h"

namespace tanagerspan
{

class published_view
{
public:
    using pointer = std::shared_ptr<const group_view>;

    void publish(group_view view)
    {
        auto next = std::make_shared<const group_view>(std::move(view));
        {
            std::lock_guard lock(mutex_);
            view_ = std::move(next);
        }
        changed_.notify_all();
    }

    pointer get() const
    {
        std::lock_guard lock(mutex_);
        return view_;
    }

    /// Waits up to `wait_ms` for a view other than `known`; returns the latest.
    pointer wait_for_change(const pointer& known, std::int64_t wait_ms) const
    {
        std::unique_lock lock(mutex_);
        changed_.wait_for(lock, std::chrono::milliseconds(wait_ms),
                          [&]
                          {
                              return view_ != known;
                          });
        return view_;
    }

private:
    mutable std::mutex mutex_;
    mutable std::condition_variable changed_;
    pointer view_ = std::make_shared<const group_view>();
};

} // namespace tanagerspan

#endif
