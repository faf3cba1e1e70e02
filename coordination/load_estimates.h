#ifndef TANAGERSPAN_COORDINATION_LOAD_ESTIMATES_H
#define TANAGERSPAN_COORDINATION_LOAD_ESTIMATES_H

// What one proxy observes about its load, for the decision which waiting
// statements can still be served (coordination/admission_plan.h):
//
//  * `route_load`: how long an endpoint works on a statement of a route, and
//    which share of the route's statements got a connection lately;
//  * `service_pace`: how fast an endpoint works through the statements of
//    this proxy while some of them wait for it. Other proxies use the same
//    endpoint, so the pace is measured and not derived from its slots.
//
// Not thread safe.

#include <algorithm>
#include <cstdint>
#include <optional>

#include "state/instant.h"

namespace tanagerspan
{

class route_load
{
public:
    /// Records an answer that took `took_ms`. `queued`: statements were
    /// waiting for the endpoint, so that the time has a wait in the endpoint's
    /// own queue in it; such answers count only until the first others.
    void on_answer(double took_ms, bool queued);

    /// Records that a statement got a connection or was refused one.
    void on_decided(bool granted);

    /// The expected time that an endpoint works on a statement, in ms.
    double work_ms() const
    {
        return work_ms_ > 0 ? work_ms_ : default_work_ms;
    }

    /// The share of the recent statements that got a connection, 0 to 1.
    double served_share() const
    {
        return served_share_;
    }

private:
    static constexpr double default_work_ms = 10;

    double work_ms_ = 0;
    bool only_queued_ = true;
    double served_share_ = 1;
};

class service_pace
{
public:
    /// Records the answer to a statement with `work_ms` of expected work.
    /// `backlogged`: more of this proxy's statements wait for the endpoint.
    void on_answer(double work_ms, bool backlogged, instant now);

    /// How long the endpoint takes for this proxy's next statement with 1 ms
    /// of work, in ms. Nullopt if the endpoint has not been backlogged for
    /// long enough to know, or if it has stopped answering.
    std::optional<double> ms_per_work_ms(instant now) const;

private:
    instant last_answer_ = never;
    std::int64_t answers_ = 0; ///< since the backlog began
    double interval_ms_ = 0;
    double work_ms_ = 0;
};

} // namespace tanagerspan

#endif
