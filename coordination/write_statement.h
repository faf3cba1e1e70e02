#ifndef TANAGERSPAN_COORDINATION_WRITE_STATEMENT_H
#define TANAGERSPAN_COORDINATION_WRITE_STATEMENT_H

// One write of one caller, from its arrival to its true outcome.
//
//   pick the primary -> send -> wait until a majority holds it -> done
//
// Rules, each with the promise that it carries:
//  * done only when `is_confirmed`: no acknowledged write is lost, and a
//    replaced primary cannot be acknowledged.
//  * after an attempt whose fate is open (its answer was lost, or its primary
//    was replaced before a majority held it), the write goes out again only
//    with a request id: the group records the id with the effect, so the
//    repeat finds the first outcome or is the first. Without an id it is
//    never sent twice; the outcome is unknown.
//  * not_run only if no attempt's fate is open.
//
// Used by one traffic thread at a time; see coordination/statement.h.

#include <optional>

#include "coordination/statement.h"

namespace tanagerspan
{

class write_statement
{
public:
    struct options
    {
        instant deadline_{};
        bool has_request_id_ = false;
        std::int64_t backoff_ms_ = 20;
        /// For the commit of a transaction: the only term it may run in.
        std::optional<std::uint64_t> pinned_term_{};
    };

    explicit write_statement(options opts) : options_(opts)
    {
    }

    statement_action step(const group_view& view, instant now);
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
