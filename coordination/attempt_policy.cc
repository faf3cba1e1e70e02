#include "coordination/attempt_policy.h"

namespace tanagerspan
{
namespace
{

bool cannot_have_committed(attempt_step step)
{
    return step != attempt_step::autocommit_write &&
           step != attempt_step::commit;
}

bool can_restart(attempt_step step)
{
    return step != attempt_step::later_in_transaction &&
           step != attempt_step::commit_read_only &&
           step != attempt_step::commit;
}

bool is_in_transaction(attempt_step step)
{
    return step == attempt_step::first_in_transaction ||
           step == attempt_step::later_in_transaction;
}

/// The error for a caller whose statement received no answer and is not
/// retried.
reply_error error_for_no_answer(attempt_step step, attempt_failure failure)
{
    if (step == attempt_step::connect || step == attempt_step::begin)
        return reply_error::busy;
    if (is_in_transaction(step))
        return reply_error::aborted;
    if (failure == attempt_failure::timed_out)
        return reply_error::timeout;
    return cannot_have_committed(step) ? reply_error::failed
                                       : reply_error::in_doubt;
}

} // namespace

std::string_view name_of(attempt_failure failure)
{
    switch (failure)
    {
    case attempt_failure::refused:
        return "refused";
    case attempt_failure::execution_failed:
        return "ran";
    case attempt_failure::connection_lost:
        return "lost";
    default:
        return "expired";
    }
}

std::string_view name_of(attempt_step step)
{
    switch (step)
    {
    case attempt_step::connect:
        return "connect";
    case attempt_step::begin:
        return "begin";
    case attempt_step::autocommit_read:
        return "lone_read";
    case attempt_step::autocommit_write:
        return "lone_write";
    case attempt_step::first_in_transaction:
        return "first_inside";
    case attempt_step::later_in_transaction:
        return "later_inside";
    case attempt_step::commit_read_only:
        return "commit_read_only";
    default:
        return "commit";
    }
}

attempt_failure failure_of(reply_error code)
{
    switch (code)
    {
    case reply_error::busy:
    case reply_error::lagging:
    case reply_error::read_only:
    case reply_error::no_statement:
    case reply_error::wrong_endpoint:
    case reply_error::too_many_connections:
    case reply_error::aborted:
        return attempt_failure::refused;
    default:
        return attempt_failure::execution_failed;
    }
}

attempt_decision decide_after_failure(attempt_step step,
                                      attempt_failure failure, bool may_retry)
{
    bool no_answer = failure == attempt_failure::connection_lost ||
                     failure == attempt_failure::timed_out;
    bool safe_to_repeat =
        failure == attempt_failure::refused || cannot_have_committed(step);
    // The endpoint's error for a statement that ran and failed is the answer.
    // A read outside a transaction is tried at another endpoint first.
    bool endpoint_error_is_final =
        failure == attempt_failure::execution_failed &&
        step != attempt_step::begin &&
        !(step == attempt_step::autocommit_read && may_retry);
    attempt_decision decision{.close_connection_ = no_answer,
                              .transaction_rolled_back_ =
                                  no_answer ||
                                  failure == attempt_failure::refused};
    if (endpoint_error_is_final)
    {
        decision.action_ = attempt_action::forward_endpoint_error;
        return decision;
    }
    if (may_retry && safe_to_repeat && can_restart(step) &&
        failure != attempt_failure::timed_out)
    {
        decision.action_ = attempt_action::retry;
        return decision;
    }
    bool in_transaction = is_in_transaction(step) ||
                          step == attempt_step::commit ||
                          step == attempt_step::commit_read_only;
    if (no_answer)
        decision.error_ = error_for_no_answer(step, failure);
    else
        decision.error_ =
            in_transaction ? reply_error::aborted : reply_error::busy;
    return decision;
}

} // namespace tanagerspan
