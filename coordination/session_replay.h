#ifndef TANAGERSPAN_COORDINATION_SESSION_REPLAY_H
#define TANAGERSPAN_COORDINATION_SESSION_REPLAY_H

// Computes the statements that bring a connection to an endpoint into the
// state of a caller's session before one of its statements runs there.
//
// There are more sessions than connections, so sessions share connections.
// The proxy answers SET, PREPARE and DEALLOCATE itself and remembers them;
// before a statement it sends the connection what it lacks. Invariant: right
// before each statement the connection's values equal the session's, and the
// prepared statement that it executes is the session's.
//
// On a connection a prepared statement is identified by its shape, not by the
// caller's name for it: sessions that prepare the same statement share it and
// their names cannot collide. A connection is cleared only if it has a value
// that the session has not set, or too many prepared statements.

#include <map>
#include <optional>
#include <string>
#include <vector>

#include "state/session_messages.h"

namespace tanagerspan
{

/// A prepared statement: its text (shape) and whether it writes.
struct prepared_statement
{
    bool writes_ = false;
    std::string shape_;

    auto operator<=>(const prepared_statement&) const = default; // NOLINT
};

/// What a caller's session has set and prepared, both by name.
struct session_state
{
    std::map<std::string, std::string> values_;
    std::map<std::string, prepared_statement> prepared_;
};

/// What is set and prepared on a connection to an endpoint.
struct connection_state
{
    std::map<std::string, std::string> values_;
    /// The names of the prepared statements at the endpoint.
    std::map<prepared_statement, std::string> prepared_;
};

/// The statements to send before the session's next statement. `connection` is
/// updated as if all of them succeeded. `shape` is the prepared statement that
/// the next statement executes, or null.
std::vector<statement> replay_statements(const session_state& session,
                                         const prepared_statement* shape,
                                         connection_state& connection);

/// How much of the connection's state would have to change for the
/// session; 0 is best. Used to choose among idle connections.
std::size_t replay_cost(const session_state& session,
                        const connection_state& connection);

} // namespace tanagerspan

#endif
