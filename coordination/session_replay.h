#ifndef TANAGERSPAN_COORDINATION_SESSION_REPLAY_H
#define TANAGERSPAN_COORDINATION_SESSION_REPLAY_H

// Which statements bring a connection to an endpoint into the state of a
// caller's session before one of its statements runs there.
//
// Callers' sessions outnumber connections, so connections are shared. The
// proxy answers SET, PREPARE and DEALLOCATE itself and remembers them; before
// a statement it replays what the connection lacks. Invariant: right before
// each statement, the connection's values equal the session's, and the
// prepared statement in use has the session's shape.
//
// Prepared statements are named by their shape on connections, so sessions
// that prepare alike share them and callers' names never collide. Only a value
// that the session does not have forces the connection to be cleared.

#include <map>
#include <optional>
#include <string>
#include <vector>

#include "state/session_messages.h"

namespace tanagerspan
{

/// A prepared statement as its caller described it.
struct prepared_statement
{
    bool writes_ = false;
    std::string shape_;

    auto operator<=>(const prepared_statement&) const = default; // NOLINT
};

/// What a caller's session has set and prepared.
struct session_state
{
    std::map<std::string, std::string> values_;
    std::map<std::string, prepared_statement> prepared_;
};

/// What a connection to an endpoint has.
struct connection_state
{
    std::map<std::string, std::string> values_;
    std::map<prepared_statement, std::string> prepared_; ///< to their names
};

/// The statements to send before the session's next one; `have` is changed as
/// if all of them succeeded. `shape` is the prepared statement it executes.
std::vector<statement> replay_statements(const session_state& session,
                                         const prepared_statement* shape,
                                         connection_state& have);

/// How much of the connection's state a session would have to change: 0 is
/// the best. For choosing among idle connections.
std::size_t replay_cost(const session_state& session,
                        const connection_state& have);

} // namespace tanagerspan

#endif
