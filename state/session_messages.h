#ifndef TANAGERSPAN_STATE_SESSION_MESSAGES_H
#define TANAGERSPAN_STATE_SESSION_MESSAGES_H

// Messages of database sessions, between callers and a proxy and between a
// proxy and endpoints.
//
// A session is one connection. The caller opens it for a database, then sends
// one statement at a time. Each reply ends with the session's transaction
// state and the log position of the endpoint that answered. The proxy uses
// the same messages towards endpoints.
//
// A `session_codec` converts messages to and from bytes, so that the decisions
// do not depend on the wire format. Codecs are stateless and may be shared by
// threads.

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

#include "state/failure.h"
#include "state/input_buffer.h"
#include "state/log_position.h"

namespace tanagerspan
{

enum class statement_kind
{
    begin,
    begin_read_only,
    commit,
    rollback,
    read,
    write,
    set_value,
    prepare,
    execute,
    deallocate,
    discard, ///< clears a connection's values and prepared statements
    status,
    pause_receiving, ///< a replica stops receiving the log
    resume_receiving,
    step_down,
    unknown ///< a complete message that is not a supported statement
};

/// One statement. The kind determines which fields are used.
struct statement
{
    statement_kind kind_ = statement_kind::unknown;
    std::string id_;         ///< set by callers; empty for the proxy's own
    std::string name_;       ///< of the value or the prepared statement
    std::string arguments_;  ///< value, shape, item and data, as received
    bool writes_ = false;    ///< of a prepared shape, or of a plain write
    std::uint64_t term_ = 0; ///< of pause_receiving and step_down
    /// The lowest log position at which an endpoint may run the statement.
    /// Set by proxies only.
    std::optional<log_position> min_position_{};

    bool operator==(const statement&) const = default;
};

struct open_session
{
    std::string database_; ///< the service, when sent to an endpoint
    std::string user_;
    std::string expected_{}; ///< expected id of the endpoint, or empty
};

struct end_session
{
};

using caller_message = std::variant<open_session, statement, end_session>;

enum class transaction_state
{
    idle,
    open,
    failed ///< only the end of the transaction is accepted, which rolls back
};

/// Error codes of replies.
enum class reply_error
{
    busy,
    aborted,
    lagging,
    read_only,
    wrong_endpoint,
    too_many_connections,
    failed,
    no_statement,
    timeout,
    unauthorised,
    no_database,
    too_large,
    malformed,
    in_doubt
};

/// Returns the name of `code` in logs and metrics.
std::string_view name_of(reply_error code);

/// Returns true if the error guarantees that no change of the attempt is kept.
bool guarantees_no_effect(reply_error code);

/// The answer to one statement.
struct reply
{
    std::vector<std::string> rows_;
    std::optional<reply_error> error_;
    std::string text_; ///< the digest, or the text of the error
    transaction_state state_ = transaction_state::idle;
    std::optional<log_position> position_;

    bool operator==(const reply&) const = default;
};

/// An endpoint's answer to `status`.
struct endpoint_status
{
    bool primary_ = false;
    std::uint64_t term_ = 0;
    log_position received_;
    std::uint64_t paused_by_term_ = 0;
    std::int64_t lag_ms_ = 0;
    std::int64_t busy_ = 0;
    std::int64_t connections_ = 0;

    bool operator==(const endpoint_status&) const = default;
};

/// Size limit of a received message.
constexpr std::size_t max_session_message_bytes = std::size_t{1} << 20;

/// Converts between bytes and messages. Each `extract_` function removes one
/// complete message from the front of `buffer` and returns it, or nullopt if
/// `buffer` has no complete message yet. Errors: malformed, too_large; the
/// connection must then be closed. Each `append_` function appends one
/// message to `out`.
class session_codec
{
public:
    virtual ~session_codec() = default;

    virtual result<std::optional<caller_message>>
    extract_caller_message(input_buffer& buffer) const = 0;

    /// A reply ends with its state line. `partial` holds the part of the reply
    /// that earlier calls extracted.
    virtual result<std::optional<reply>>
    extract_reply(input_buffer& buffer, reply& partial) const = 0;

    virtual void append_reply(std::string& out, const reply& value) const = 0;

    /// Appends the reply to a refused open_session; the connection is then
    /// closed.
    virtual void append_open_error(std::string& out, reply_error error,
                                   std::string_view text) const = 0;

    /// Appends the request to open a session at an endpoint, which refuses it
    /// if its id is not `expected`.
    virtual void append_open_session(std::string& out, std::string_view service,
                                     std::string_view user,
                                     std::string_view expected) const = 0;

    virtual void append_statement(std::string& out,
                                  const statement& value) const = 0;

    /// Parses the reply to a status statement. Errors: unavailable if it does
    /// not have exactly one row, malformed if the row cannot be parsed.
    virtual result<endpoint_status> status_of(const reply& value) const = 0;

    /// Formats the row that `status_of` parses.
    virtual std::string status_row(const endpoint_status& value) const = 0;
};

} // namespace tanagerspan

#endif
