#ifndef TANAGERSPAN_COORDINATION_WRITE_STATEMENT_H
#define TANAGERSPAN_COORDINATION_WRITE_STATEMENT_H

// State machine of one write, from its arrival to its outcome:
//
//   choose the primary -> send -> wait until a majority holds it -> done
//
// Rules, with the guarantee that each provides:
//  * A write is done only when `is_confirmed`: no acknowledged write is lost,
//    and a write of a replaced primary is not acknowledged.
//  * After an attempt whose outcome is unknown (its answer was lost, or its
//    primary was replaced before a majority held the write), the write is sent
//    again only if it has a request id. The group records the id with the
//    effect, so the second attempt returns the first one's result or is the
//    first to take effect. Without an id the write is not sent again, and its
//    outcome is `unknown`.
//  * The outcome is `not_run` only if no attempt's outcome is unknown.
//
// Used by one traffic thread at a time; see coordination/statement.h.

#include <optional>

#include "coordination/statement.h"

namespace tanagerspan
{

/// One write. See the head of the file.
class write_statement
{
public:
    struct options
    {
        instant deadline_{};
        bool has_request_id_ = false;
        std::int64_t backoff_ms_ = 20;
        /// For a transaction's commit: the only term in which it may run.
        std::optional<std::uint64_t> pinned_term_{};
    };

    explicit write_statement(options opts) : options_(opts)
    {
    }

    /// The next action; the answer once there is one.
    statement_action step(const group_view& view, instant now);
    /// Reports the result of the last `send_attempt`.
    void on_attempt(const attempt_result& got, instant now);

private:
    statement_action choose_member(const group_view& view, instant now);
    statement_action confirm(const group_view& view, instant now);
    statement_action finish_failed(failure cause);
    void on_refusal(const failure& cause, instant now);
    bool may_resend() const
    {
        return options_.has_request_id_ && !options_.pinned_term_;
    }

    options options_;
    std::optional<statement_answer> answer_;
    std::optional<execute_answer> committed_;
    failure last_cause_{error_code::no_primary, "no primary is known"};
    std::size_t member_ = 0;
    std::uint64_t sent_term_ = 0;
    std::uint64_t min_term_ = 0;
    instant not_before_ = never;
    bool outcome_unknown_ = false;
    int attempts_ = 0;
};

} // namespace tanagerspan

#endif
