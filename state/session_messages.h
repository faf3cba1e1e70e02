#ifndef TANAGERSPAN_STATE_SESSION_MESSAGES_H
#define TANAGERSPAN_STATE_SESSION_MESSAGES_H

// Messages of database sessions, on both sides of a proxy, as types.
//
// A session is a connection. The caller opens it for a database, sends one
// statement at a time and gets for each a reply that ends with the session's
// transaction state and the log position of the answering endpoint. Towards
// endpoints the proxy speaks the same messages.
//
// The bytes are a codec's matter (`session_codec`), so that the decisions
// serve any wire format. A codec is stateless and may be shared by threads.

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

#include "state/failure.h"
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
    pause_receiving, ///< a replica takes no more of the log
    resume_receiving,
    step_down,
    unknown ///< well-framed, but no statement of the dialect
};

/// One statement. Which fields are used depends on the kind.
struct statement
{
    statement_kind kind_ = statement_kind::unknown;
    std::string id_;         ///< the caller's; empty for the proxy's own
    std::string name_;       ///< of the value or the prepared statement
    std::string arguments_;  ///< value, shape, item and data, as received
    bool writes_ = false;    ///< of a prepared shape, or of a plain write
    std::uint64_t term_ = 0; ///< of pause_receiving and step_down
    /// Only for an endpoint whose log holds this position; callers send none.
    std::optional<log_position> min_position_{};

    bool operator==(const statement&) const = default;
};

struct open_session
{
    std::string database_; ///< towards endpoints: the service
    std::string user_;
    std::string expected_{}; ///< the endpoint's id, or empty
};

struct end_session
{
};

using caller_message = std::variant<open_session, statement, end_session>;

enum class transaction_state
{
    idle,
    open,
    failed ///< only its end is accepted, which rolls back
};

/// Why a statement was not answered with rows.
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

/// The name in logs and metrics.
std::string_view name_of(reply_error code);

/// True where the error promises that nothing of the attempt is kept.
bool guarantees_no_effect(reply_error code);

struct reply
{
    std::vector<std::string> rows_;
    std::optional<reply_error> error_;
    std::string text_; ///< the digest, or the error's text
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

/// The largest message that is read, in bytes.
constexpr std::size_t max_session_message_bytes = std::size_t{1} << 20;

/// Translates between bytes and messages. Each `take_` function removes one
/// whole message from the front of `buffer`; nullopt when more bytes are
/// needed. Errors: malformed, too_large; the connection is then of no use.
class session_codec
{
public:
    virtual ~session_codec() = default;

    virtual result<std::optional<caller_message>>
    extract_caller_message(std::string& buffer) const = 0;

    /// A reply ends with the state line; `partial` keeps what came before it
    /// between calls.
    virtual result<std::optional<reply>>
    extract_reply(std::string& buffer, reply& partial) const = 0;

    virtual void append_reply(std::string& out, const reply& value) const = 0;

    /// The answer to a session that is not opened; the connection ends.
    virtual void append_open_error(std::string& out, reply_error error,
                                   std::string_view text) const = 0;

    /// Opens a session at an endpoint, which refuses if it is not `expected`.
    virtual void append_open_session(std::string& out, std::string_view service,
                                     std::string_view user,
                                     std::string_view expected) const = 0;

    virtual void append_statement(std::string& out,
                                  const statement& value) const = 0;

    virtual result<endpoint_status> status_of(const reply& value) const = 0;

    /// The row that `status_of` reads.
    virtual std::string status_row(const endpoint_status& value) const = 0;
};

} // namespace tanagerspan

#endif
