#ifndef TANAGERSPAN_COORDINATION_STATEMENT_H
#define TANAGERSPAN_COORDINATION_STATEMENT_H

// What the two statement machines, `write_statement` and `read_statement`,
// have in common: the actions they ask for, the outcome of one attempt, and
// the answer that they end with.
//
// A machine does no I/O. Its driver calls `step` and does what it says:
//
//   for (;;)
//   {
//       statement_action act = machine.step(view, now);
//       // send:   exchange with the member, then machine.on_attempt(...)
//       // wait:   until the view changes or `until_`, whichever is first
//       // finish: the answer for the caller; the machine is spent
//   }
//
// Outcomes are three, as types. `not_run` is given only when it is certain
// that no attempt had or will have an effect; `done` only when a majority
// holds what the answer shows; everything else is `unknown`.

#include <string_view>
#include <variant>

#include "coordination/group_view.h"

namespace tanagerspan
{

enum class outcome
{
    done,
    not_run,
    unknown
};

std::string_view name_of(outcome value);

/// Send the statement to a member. For a write, `term_` goes with it.
struct send_attempt
{
    std::size_t member_ = 0;
    std::uint64_t term_ = 0;
    log_position at_least_{};
    std::int64_t wait_ms_ = 0;
};

/// Wait for a change of the view. With `poll_now_`, have members asked at once.
struct wait_for_view
{
    instant until_;
    bool poll_now_ = false;
};

/// The answer for the caller.
struct statement_answer
{
    outcome outcome_ = outcome::unknown;
    failure failure_{}; ///< cause, unless done
    log_position position_{};
    std::vector<operation_result> results_{};
    bool replayed_ = false;
    bool by_replica_ = false;
    std::string served_by_{};
    std::int64_t age_ms_ = -1; ///< bound on the data's age; -1: not known
    int attempts_ = 0;
};

using statement_action =
    std::variant<send_attempt, wait_for_view, statement_answer>;

/// True for failures of this proxy before any byte of an attempt went out.
bool is_not_sent(error_code code);

/// What came of one attempt. With a failure: `not_sent` if no byte went out,
/// `lost` if the peer may have acted, else the endpoint's own refusal.
using attempt_result = result<execute_answer>;

/// True for refusals by which the endpoint says that nothing was run.
bool is_endpoint_refusal(error_code code);

} // namespace tanagerspan

#endif
