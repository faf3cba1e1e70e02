#ifndef TANAGERSPAN_COORDINATION_CONCURRENCY_WINDOW_H
#define TANAGERSPAN_COORDINATION_CONCURRENCY_WINDOW_H

// Limits how many statements one proxy has in flight at one endpoint.
//
// An endpoint runs a few statements at a time and queues the rest first in,
// first out, without regard to priorities and timeouts. So statements wait at
// the proxies, and each proxy sends an endpoint only what it can answer
// without much queueing. Proxies do not see each other's statements; each
// follows the response times. The window grows by a fraction of a statement
// with every answer that took about as long as without load. It shrinks when
// answers take several times as long, and faster when the endpoint refuses a
// statement.
//
// It protects against an endpoint that gets more work than it can do: its
// replicas lag and their reads move to it, or many clients reconnect at once.
// Without the window the endpoint's queue stays full after the cause has
// passed, and every statement that reaches it is late.
//
// Pure. Not thread safe.

#include <algorithm>
#include <cstdint>

namespace tanagerspan
{

/// The window of one proxy for one endpoint.
class concurrency_window
{
public:
    struct options
    {
        double initial_ = 2.0;
        /// At least 1: with no statement in flight, no answer would show that
        /// the endpoint has recovered.
        double min_ = 1.0;
        double max_ = 8.0;
        /// A mean this many times the baseline counts as queueing. Kinds of
        /// statements differ by about as much in their response times.
        double queued_factor_ = 2.5;
        double increase_ = 0.25;      ///< per answer without queueing
        double decrease_ = 0.1;       ///< per answer with queueing
        double refused_factor_ = 0.7; ///< per refused statement
        /// Weight of one answer in the moving mean.
        double mean_weight_ = 0.15;
        /// The baseline, the lowest mean so far, grows by this factor with
        /// each answer, so that it follows lasting changes.
        double baseline_growth_ = 1.002;
    };

    explicit concurrency_window(options opts)
        : options_(opts), window_(opts.initial_)
    {
    }

    /// Sets the largest size, for example the connections to the endpoint.
    void set_max(double max)
    {
        options_.max_ = std::max(max, options_.min_);
        window_ = std::min(window_, options_.max_);
    }

    /// Records an answer that took `took_ms`, while `running` statements,
    /// this one included, were in flight.
    void on_answer(double took_ms, std::int64_t running);

    /// Records that the endpoint refused a statement.
    void on_refused();

    /// True if one more statement may be sent while `running` are in flight.
    bool has_room(std::int64_t running) const
    {
        return static_cast<double>(running) + 1.0 <= std::max(window_, 1.0);
    }

    double size() const
    {
        return window_;
    }

    /// Moving mean of the response times in ms; 0 before the first answer.
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
