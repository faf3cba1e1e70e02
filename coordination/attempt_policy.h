#ifndef TANAGERSPAN_COORDINATION_ATTEMPT_POLICY_H
#define TANAGERSPAN_COORDINATION_ATTEMPT_POLICY_H

// What to do when an attempt to run a caller's statement did not succeed.
//
// Two promises decide. A statement that may have run and must not run twice
// is never sent again: its caller is told that the outcome is in doubt. And a
// caller is told that nothing is kept only where that is certain: no byte of
// a lone write or a commit went out, or the endpoint itself said that it did
// not run. Before its commit a transaction keeps nothing, whatever became of
// its statements, as long as its connection is rolled back or closed.
//
// Pure; every combination is enumerated by the tests.

#include <string_view>

#include "state/session_messages.h"

namespace tanagerspan
{

/// What was under way when the attempt failed.
enum class attempt_step
{
    connect,              ///< no byte of the statement went out
    begin,                ///< the proxy's begin, nothing of the caller ran
    autocommit_read,      ///< outside a transaction of the caller
    autocommit_write,     ///< the same, kept at once
    first_in_transaction, ///< first statement after the begin
    later_in_transaction, ///< a later one, before the commit
    commit_read_only,     ///< the commit of a transaction that wrote nothing
    commit
};

/// How the attempt failed: the endpoint's error, or no answer at all.
enum class attempt_failure
{
    refused,          ///< the endpoint says that it did not run
    execution_failed, ///< the endpoint says that it ran and failed
    connection_lost,  ///< the connection ended before the answer
    timed_out         ///< the statement's time is over
};

enum class attempt_action
{
    retry, ///< another attempt, which must not be the second run of a write
    forward_endpoint_error, ///< the endpoint's own error goes to the caller
    return_proxy_error      ///< an error of the proxy's, see `attempt_decision`
};

struct attempt_decision
{
    attempt_action action_ = attempt_action::return_proxy_error;
    reply_error error_ = reply_error::busy; ///< for `return_proxy_error`
    /// The connection can't be trusted any more and is to be closed.
    bool close_connection_ = false;
    /// The caller's transaction, if any, is over and rolled back.
    bool transaction_rolled_back_ = false;
};

/// The names in logs.
std::string_view name_of(attempt_step step);
std::string_view name_of(attempt_failure failure);

attempt_failure failure_of(reply_error code);

/// `may_retry`: attempts and time are left.
attempt_decision decide_after_failure(attempt_step step,
                                      attempt_failure failure, bool may_retry);

} // namespace tanagerspan

#endif
