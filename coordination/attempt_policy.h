#ifndef TANAGERSPAN_COORDINATION_ATTEMPT_POLICY_H
#define TANAGERSPAN_COORDINATION_ATTEMPT_POLICY_H

// Decides what a proxy does after an attempt to run a caller's statement
// failed.
//
// Two guarantees determine the decision:
//  * A statement that may have taken effect and must not run twice is never
//    sent again; its caller learns that the outcome is in doubt.
//  * A caller is told that nothing was committed only where that is certain:
//    no byte of an autocommit write or a commit was sent, or the endpoint
//    reported that it did not run it. A transaction commits nothing before
//    its commit, whatever its statements did, as long as its connection is
//    rolled back or closed.
//
// Pure functions; attempt_policy_test enumerates every combination.

#include <string_view>

#include "state/session_messages.h"

namespace tanagerspan
{

/// The step that was in progress when the attempt failed.
enum class attempt_step
{
    connect,              ///< no byte of the statement was sent
    begin,                ///< the proxy's own begin; no statement ran
    autocommit_read,      ///< a read outside a transaction
    autocommit_write,     ///< a write that commits by itself
    first_in_transaction, ///< the first statement after the begin
    later_in_transaction, ///< a later statement, before the commit
    commit_read_only,     ///< the commit of a transaction that wrote nothing
    commit                ///< the commit of a transaction that wrote
};

/// How the attempt failed: the endpoint's error, or no answer at all.
enum class attempt_failure
{
    refused,          ///< the endpoint reports that it did not run it
    execution_failed, ///< the endpoint reports that it ran and failed
    connection_lost,  ///< the connection ended before the answer
    timed_out         ///< the statement's timeout has passed
};

/// What the proxy does next.
enum class attempt_action
{
    retry, ///< send again; never chosen where a write could run twice
    forward_endpoint_error, ///< the caller receives the endpoint's error
    return_proxy_error      ///< the caller receives `error_`
};

/// The action and what happens to the connection and the transaction.
struct attempt_decision
{
    attempt_action action_ = attempt_action::return_proxy_error;
    reply_error error_ = reply_error::busy; ///< for `return_proxy_error`
    /// The connection must be closed: it is in an unknown state because no
    /// answer arrived on it.
    bool close_connection_ = false;
    /// The caller's transaction, if any, has ended and is rolled back.
    bool transaction_rolled_back_ = false;
};

/// The names used in logs.
std::string_view name_of(attempt_step step);
std::string_view name_of(attempt_failure failure);

/// Whether the endpoint's error means that the statement was refused or that
/// it ran and failed.
attempt_failure failure_of(reply_error code);

/// Decides by the step, the failure and whether the limit of attempts and the
/// statement's timeout allow another attempt (`may_retry`).
attempt_decision decide_after_failure(attempt_step step,
                                      attempt_failure failure, bool may_retry);

} // namespace tanagerspan

#endif
