#ifndef TANAGERSPAN_NODE_STATEMENT_DRIVER_H
#define TANAGERSPAN_NODE_STATEMENT_DRIVER_H

// Runs a statement machine of coordination/ (`write_statement` or
// `read_statement`) at a home of the service: performs its attempts and waits,
// and returns its answer. Called on traffic threads, which it blocks.

#include <functional>

#include "coordination/statement.h"
#include "node/service_route.h"
#include "transport/monotonic_clock.h"

namespace tanagerspan
{

/// Performs one attempt of a statement.
using attempt_function = std::function<attempt_result(const send_attempt&)>;

/// Releases a slot of `limiter` at the end of the scope. The slot must have
/// been acquired before.
class slot_guard
{
public:
    explicit slot_guard(slot_limiter& limiter) : slot_limiter_(limiter)
    {
    }
    ~slot_guard()
    {
        slot_limiter_.release();
    }
    slot_guard(const slot_guard&) = delete;
    slot_guard& operator=(const slot_guard&) = delete;

private:
    slot_limiter& slot_limiter_;
};

/// Runs `machine` until it returns an answer. `run` performs its attempts.
template <class Machine>
statement_answer run_statement(Machine& machine, home_service& home,
                               instant deadline, node_counters& counters,
                               const attempt_function& run)
{
    constexpr std::int64_t max_wait_ms = 50;
    // The shortest time between two requests to refresh an unchanged view.
    constexpr std::int64_t min_poll_interval_ms = 5;
    bool first = true;
    auto view = home.view_.get();
    while (true)
    {
        instant now = monotonic_now();
        auto action = machine.step(*view, now);
        if (auto* answer = std::get_if<statement_answer>(&action))
            return std::move(*answer);
        if (const auto* wait = std::get_if<wait_for_view>(&action))
        {
            std::int64_t span = std::min(wait->until_ - now, max_wait_ms);
            if (wait->poll_now_)
            {
                home.poll_now_();
                span = std::min(span, min_poll_interval_ms);
            }
            view = home.view_.wait_for_change(view,
                                              std::max<std::int64_t>(span, 1));
            continue;
        }
        const auto& send = std::get<send_attempt>(action);
        bool allowed = true;
        {
            std::lock_guard lock(home.retry_budget_mutex_);
            if (first)
                home.retry_budget_.on_first_attempt();
            else
                allowed = home.retry_budget_.try_spend();
        }
        if (!first)
            ++counters.retries_;
        first = false;
        machine.on_attempt(
            allowed ? run(send)
                    : fail(error_code::over_limit, "the retry budget is spent"),
            monotonic_now());
        view = home.view_.get();
        static_cast<void>(deadline);
    }
}

} // namespace tanagerspan

#endif
