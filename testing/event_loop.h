#ifndef TANAGERSPAN_TESTING_EVENT_LOOP_H
#define TANAGERSPAN_TESTING_EVENT_LOOP_H

// Event loop with virtual time for deterministic tests: events run in order of
// time, events of the same time in order of posting, and all randomness comes
// from one seed. The trace keeps the latest lines, to diagnose a failing seed.

#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <random>
#include <string>
#include <utility>

#include "state/instant.h"

namespace tanagerspan
{

class event_loop
{
public:
    explicit event_loop(std::uint64_t seed) : random_(seed)
    {
    }

    instant now() const
    {
        return now_;
    }

    void after(double delay_ms, std::function<void()> work)
    {
        auto at_us = now_us_ + static_cast<std::int64_t>(delay_ms * 1000);
        events_.emplace(std::pair{at_us, next_++}, std::move(work));
    }

    void run_until(instant end)
    {
        while (!events_.empty() &&
               events_.begin()->first.first <= end.ms_ * 1000)
        {
            auto first = events_.extract(events_.begin());
            now_us_ = first.key().first;
            now_ = instant{now_us_ / 1000};
            first.mapped()();
        }
        now_ = end;
        now_us_ = end.ms_ * 1000;
    }

    double uniform(double low, double high)
    {
        return std::uniform_real_distribution<double>(low, high)(random_);
    }
    bool chance(double p)
    {
        return uniform(0, 1) < p;
    }
    std::size_t pick(std::size_t count)
    {
        return static_cast<std::size_t>(random_() % count);
    }

    void trace(std::string line)
    {
        constexpr std::size_t most = 400;
        lines_.push_back(std::to_string(now_.ms_) + " ms  " + std::move(line));
        if (lines_.size() > most)
            lines_.pop_front();
    }
    const std::deque<std::string>& lines() const
    {
        return lines_;
    }

private:
    std::map<std::pair<std::int64_t, std::uint64_t>, std::function<void()>>
        events_;
    std::uint64_t next_ = 0;
    std::int64_t now_us_ = 0;
    instant now_{};
    std::mt19937_64 random_;
    std::deque<std::string> lines_;
};

} // namespace tanagerspan

#endif
