#ifndef TANAGERSPAN_COORDINATION_STATEMENT_H
#define TANAGERSPAN_COORDINATION_STATEMENT_H

// Common parts of the state machines `write_statement` and `read_statement`:
// the actions that they request, the result of one attempt, and the answer
// that they end with.
//
// A machine does no I/O. Its driver calls `step` and performs the action:
//
//   for (;;)
//   {
//       statement_action act = machine.step(view, now);
//       // send_attempt:     send to the member, then machine.on_attempt(...)
//       // wait_for_view:    wait for a change of the view or for `until_`
//       // statement_answer: the answer for the caller; the machine is done
//   }
//
// There are three outcomes. `not_run` is reported only if it is certain that
// no attempt had or will have an effect; `done` only if a majority of the
// members holds what the answer shows; anything else is `unknown`.

#include <string_view>
#include <variant>

#include "coordination/group_view.h"

namespace tanagerspan
{

/// The outcome of a statement, as the caller sees it.
enum class outcome
{
    done,
    not_run,
    unknown
};

/// The name used in answers to callers.
std::string_view name_of(outcome value);

/// Action: send the statement to a member.
struct send_attempt
{
    std::size_t member_ = 0;   ///< index in the view
    std::uint64_t term_ = 0;   ///< a write is sent with this term
    log_position at_least_{};  ///< for a read: the position it must include
    std::int64_t wait_ms_ = 0; ///< for a read: how long to wait for it
};

/// Action: wait for a change of the view, until `until_` at the latest. With
/// `poll_now_` the driver has the members' status requested at once.
struct wait_for_view
{
    instant until_;
    bool poll_now_ = false;
};

/// Action: give the caller this answer.
struct statement_answer
{
    outcome outcome_ = outcome::unknown;
    failure failure_{}; ///< the cause, unless done
    log_position position_{};
    std::vector<operation_result> results_{};
    bool replayed_ = false;
    bool by_replica_ = false;
    std::string served_by_{};
    std::int64_t age_ms_ = -1; ///< upper bound on the data's age; -1: unknown
    int attempts_ = 0;
};

using statement_action =
    std::variant<send_attempt, wait_for_view, statement_answer>;

/// True for failures in this proxy before any byte of an attempt was sent.
bool is_not_sent(error_code code);

/// The result of one attempt. Failures: a code for which `is_not_sent` is true
/// if no byte was sent, `lost` if the member may have run the statement,
/// otherwise the endpoint's refusal.
using attempt_result = result<execute_answer>;

/// True for errors with which an endpoint reports that it ran nothing.
bool is_endpoint_refusal(error_code code);

} // namespace tanagerspan

#endif
