#ifndef TANAGERSPAN_COORDINATION_TAKEOVER_RUN_TEST_H
#define TANAGERSPAN_COORDINATION_TAKEOVER_RUN_TEST_H

// Runs a whole takeover attempt against a group in memory.

#include <deque>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "coordination/group_model_test.h"
#include "coordination/takeover.h"

namespace tanagerspan
{

struct attempt_result
{
    std::optional<std::string> ordered_;
    std::vector<std::string> resumed_;
    std::string end_reason_;
};

/// Runs an attempt to its end. `step` is called between two actions and may
/// change the group.
template <class Step>
attempt_result
run_attempt(group_model& group, takeover_reason reason, Step step,
            std::optional<std::string> ordered_before = std::nullopt)
{
    attempt_result out;
    instant now{1000};
    takeover attempt(
        {},
        {.reason_ = reason,
         .primary_id_ = group.primary_,
         .members_ = {{"p", reason == takeover_reason::leaving}, {"a"}, {"b"}},
         .pending_ = {.ordered_ = std::move(ordered_before)},
         .claimed_at_ = now});
    std::deque<takeover_action> queue;
    auto add = [&queue](const std::vector<takeover_action>& more)
    {
        queue.insert(queue.end(), more.begin(), more.end());
    };
    add(attempt.start(now));
    for (int i = 0; i < 2000 && !attempt.finished(); ++i)
    {
        step(group);
        if (queue.empty())
        {
            now = now + 10;
            add(attempt.tick(now));
            continue;
        }
        takeover_action next = queue.front();
        queue.pop_front();
        const std::string& id = next.endpoint_id_;
        if (next.kind_ == takeover_action::kind::pause)
            group.pause(id, next.term_);
        if (next.kind_ == takeover_action::kind::step_down)
            group.step_down(id, next.term_);
        if (next.kind_ == takeover_action::kind::pause ||
            next.kind_ == takeover_action::kind::ask_status ||
            next.kind_ == takeover_action::kind::step_down)
            add(attempt.on_status(id, group.status(id), now));
        if (next.kind_ == takeover_action::kind::record_target)
            add(attempt.on_target_recorded(true, now));
        if (next.kind_ == takeover_action::kind::list_members)
        {
            if (group.has_joined_)
                add(attempt.on_joined("n", now));
            add(attempt.on_members_listed(now, now));
        }
        if (next.kind_ == takeover_action::kind::record_end)
            add(attempt.on_end_recorded(true, now));
        if (next.kind_ == takeover_action::kind::resume)
        {
            out.resumed_.push_back(id);
            group.resume(id);
            add(attempt.on_status(id, group.status(id), now));
        }
        if (next.kind_ == takeover_action::kind::finish)
            out.end_reason_ = next.detail_;
        if (next.kind_ == takeover_action::kind::order)
        {
            out.ordered_ = id;
            step(group);
            group.promote(id);
            add(attempt.on_ordered(takeover::order_outcome::done, now));
        }
    }
    for (const auto& remaining : queue)
    {
        if (remaining.kind_ == takeover_action::kind::finish)
            out.end_reason_ = remaining.detail_;
    }
    return out;
}

} // namespace tanagerspan

#endif
