#ifndef TANAGERSPAN_NODE_SERIAL_EXECUTOR_H
#define TANAGERSPAN_NODE_SERIAL_EXECUTOR_H

// A thread that runs tasks one at a time, in the order in which they were
// posted. The control thread uses it for blocking calls; a task reports its
// result by posting an event to the control thread.
//
// The destructor waits for the running task and discards the others.
// `post` and `waiting` are thread safe.

#include <condition_variable>
#include <deque>
#include <functional>
#include <mutex>
#include <thread>

namespace tanagerspan
{

class serial_executor
{
public:
    using task = std::function<void()>;

    serial_executor()
        : thread_(
              [this]
              {
                  run();
              })
    {
    }

    ~serial_executor()
    {
        {
            std::lock_guard lock(mutex_);
            stopping_ = true;
        }
        wake_.notify_all();
        thread_.join();
    }

    serial_executor(const serial_executor&) = delete;
    serial_executor& operator=(const serial_executor&) = delete;

    void post(task work)
    {
        {
            std::lock_guard lock(mutex_);
            tasks_.push_back(std::move(work));
        }
        wake_.notify_one();
    }

    /// The number of tasks that have not started.
    std::size_t waiting() const
    {
        std::lock_guard lock(mutex_);
        return tasks_.size();
    }

private:
    void run()
    {
        std::unique_lock lock(mutex_);
        while (true)
        {
            wake_.wait(lock,
                       [this]
                       {
                           return stopping_ || !tasks_.empty();
                       });
            if (stopping_)
                return;
            task work = std::move(tasks_.front());
            tasks_.pop_front();
            lock.unlock();
            work();
            lock.lock();
        }
    }

    mutable std::mutex mutex_;
    std::condition_variable wake_;
    std::deque<task> tasks_;
    bool stopping_ = false;
    std::thread thread_;
};

} // namespace tanagerspan

#endif
