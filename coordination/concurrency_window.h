#ifndef TANAGERSPAN_COORDINATION_CONCURRENCY_WINDOW_H
#define TANAGERSPAN_COORDINATION_CONCURRENCY_WINDOW_H

// How many statements one proxy has at one endpoint at a time.
//
// An endpoint works on a few statements and queues the rest, first in, first
// out, blind to priorities and timeouts. So work waits at the proxies, and
// each offers an endpoint only what it answers without much queueing. The
// proxies do not see each other's work; each follows the answer times: the
// window grows by a part of a statement with every answer that took about as
// long as without load, and shrinks when answers take several times as long,
// and faster when the endpoint turns work away.
//
// The load it answers: one endpoint gets more than it can do (its replicas lag
// and their reads come to it, or many clients come back at once). Without the
// window its queue stays full after the cause is gone, and everything that
// reaches it is late.
//
// Pure. Not thread safe.

#include <algorithm>
#include <cstdint>

namespace tanagerspan
{

class concurrency_window
{
public:
    struct options
    {
        double initial_ = 2.0;
        double min_ = 1.0; ///< so that an endpoint's recovery is noticed
        double max_ = 8.0;
        /// Answers this many times slower than the fastest mean count as
        /// queued: the kinds of work differ by about as much among themselves.
        double queued_factor_ = 2.5;
        double increase_ = 0.25;
        double decrease_ = 0.1;
        double refused_factor_ = 0.7;
        /// A mean follows a change within about this share of an answer.
        double mean_weight_ = 0.15;
        /// The fastest mean is forgotten slowly, by this much an answer.
        double baseline_growth_ = 1.002;
    };

    explicit concurrency_window(options opts)
        : options_(opts), window_(opts.initial_)
    {
    }

    void set_max(double max)
    {
        options_.max_ = std::max(max, options_.min_);
        window_ = std::min(window_, options_.max_);
    }

    /// An answer after `took_ms`; `running`: how many ran with it.
    void on_answer(double took_ms, std::int64_t running);

    /// The endpoint turned a statement away.
    void on_refused();

    bool has_room(std::int64_t running) const
    {
        return static_cast<double>(running) + 1.0 <= std::max(window_, 1.0);
    }

    double size() const
    {
        return window_;
    }

    /// Mean of recent answer times; 0 before the first.
    double mean_ms() const
    {
        return mean_ms_;
    }

private:
    options options_;
    double window_;
    double mean_ms_ = 0;
    double baseline_ms_ = 0;
};

} // namespace tanagerspan

#endif
