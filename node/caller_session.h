#ifndef TANAGERSPAN_NODE_CALLER_SESSION_H
#define TANAGERSPAN_NODE_CALLER_SESSION_H

// A caller's session: its connection, the values and prepared statements that
// the caller set up, and its transaction.
//
// Statements run one at a time, in the order of arrival. The session answers
// begin, set, prepare, deallocate and rollback itself; a begin is sent to the
// endpoint together with the transaction's first statement. Every other
// statement is executed by a `statement_run`, on the transaction's connection
// if a transaction is open.
//
// On routes that are not public, the key of the opening message identifies the
// client account. The key is looked up again for every statement, because new
// settings may withdraw it or give it to another account while the session is
// open. Such a statement is refused, and an open transaction is rolled back.
//
// A transaction fails when its connection ends, when an endpoint refuses it,
// or when it stays idle beyond the limit. None of its changes are kept, and
// the caller can only end it.
//
// Not thread safe: use on the traffic thread only.

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>

#include "node/allowance_client.h"
#include "node/service_gateway.h"
#include "node/statement_run.h"
#include "state/latency_histograms.h"

namespace tanagerspan
{

/// Counters that all sessions of a proxy share, shown on the metrics page.
struct session_counters
{
    std::uint64_t sessions_ = 0;
    std::uint64_t statements_ = 0;
    std::uint64_t answered_ = 0;
    std::map<std::string, std::uint64_t> refused_; ///< by name of the error
    latency_histograms latencies_;
};

/// The services that a session uses. All of them outlive the session.
struct session_environment
{
    const session_codec* codec_ = nullptr;
    session_counters* counters_ = nullptr;
    /// The route of a database. Null if the database has no route, or before
    /// the first route table.
    std::function<const database_route*(const std::string&)> route_of_;
    /// The account for which a caller with this key uses the route now; see
    /// `find_account`.
    std::function<std::optional<std::string>(const database_route&,
                                             const std::string&)>
        account_of_;
    std::function<std::shared_ptr<service_gateway>(const std::string&)>
        gateway_of_;
    /// Whether the routes and the endpoints are known.
    std::function<bool()> is_ready_;
    std::function<std::int64_t()> transaction_idle_ms_;
    /// Until when the settings are known to be young enough for statements of
    /// keyed callers; nullopt if their age does not matter.
    std::function<std::optional<instant>()> keys_valid_until_;
    /// Where operations of client accounts get tokens; null if they need none.
    allowance_client* allowances_ = nullptr;
};

class caller_session : public std::enable_shared_from_this<caller_session>
{
public:
    caller_session(tcp_socket socket, const session_environment& environment);

    void start();

    /// Applies the timeouts. Returns false once the session is closed and can
    /// be deleted. Call it every few tens of milliseconds.
    bool tick(instant now);

    /// Closes the session as soon as it is in no transaction.
    void drain();
    /// Rolls back an open transaction of which no statement is running.
    void roll_back_idle_transaction();

    bool is_closed() const
    {
        return closed_;
    }
    bool is_idle() const
    {
        return !run_ && !waiting_statement_ && !in_transaction();
    }

    /// Messages that a session processes before the event loop serves others.
    static constexpr int max_messages_per_turn = 64;
    /// Size of the input from which on a session stops reading from the socket
    /// while messages wait. A caller that awaits its replies never gets there.
    static constexpr std::size_t max_waiting_input_bytes = 65'536;

private:
    bool in_transaction() const
    {
        return pending_begin_ || transaction_ || transaction_failed_;
    }
    /// Whether the next message must wait for an earlier one.
    bool awaits_completion() const
    {
        return run_ || pending_open_ || waiting_statement_;
    }
    void process_messages();
    /// Processes the next messages after other work of the event loop.
    void process_later();
    /// Pauses the input while messages wait and it is over the limit.
    void limit_input();
    void on_open(const open_session& request);
    void retry_open(instant now);
    void on_statement(const statement& stmt);
    bool answer_locally(const statement& stmt);
    /// Determines the route and the account of the next operation. Returns
    /// false if the statement was refused.
    bool begin_operation();
    /// For statements that no endpoint runs: returns false if the caller's key
    /// identifies no account and the statement was refused.
    bool check_key(const statement& stmt);
    /// Returns false if the caller's key no longer identifies the account of
    /// the open transaction. The transaction is then rolled back and the
    /// statement refused.
    bool check_transaction_account(const statement& stmt);
    /// Returns false if the statement was refused because the settings may be
    /// too old to identify its caller. An open transaction is then rolled back.
    bool check_settings_age(const statement& stmt);
    /// Refuses a statement and ends the transaction to which it belongs.
    void refuse_and_roll_back(const statement& stmt, reply_error error,
                              std::string_view why);
    /// Returns false if the statement begins an operation that has no token
    /// yet. The statement then waits.
    bool take_allowance(const statement& stmt);
    void on_allowance(bool granted);
    void begin(const statement& stmt);
    void roll_back();
    void answer_after_failure(const statement& stmt);
    void run(const statement& stmt);
    void execute(const statement& stmt, instant arrived);
    void on_outcome(const statement& stmt, bool writes, instant arrived,
                    run_outcome outcome);
    void record_commit(const statement& stmt, const run_outcome& outcome,
                       bool wrote);
    void send_reply(const reply& value);
    void send_success();
    void refuse(reply_error error, std::string_view text);
    transaction_state state() const;
    void close(std::string_view why);

    session_environment environment_;
    std::shared_ptr<byte_stream> stream_;
    std::string database_;
    std::string key_; ///< secret: not to be logged or sent on
    bool opened_ = false;
    /// A request to open the session that waits until the routes are known.
    std::optional<open_session> pending_open_;
    instant open_requested_at_ = never;
    bool closed_ = false;
    bool draining_ = false;
    bool processing_ = false;
    bool turn_is_posted_ = false;
    instant input_paused_at_ = never; ///< the last time
    session_context context_;
    /// The route of the current transaction or, outside of transactions, of
    /// the last statement.
    database_route route_;
    /// The client account of the same; empty on a public route.
    std::string account_;
    /// A begin that was answered and has not been sent to an endpoint.
    std::optional<statement_kind> pending_begin_;
    std::optional<pinned_transaction> transaction_;
    bool transaction_failed_ = false;
    std::shared_ptr<service_gateway> gateway_;
    std::shared_ptr<statement_run> run_;
    /// A statement that waits for a token of its account, and since when.
    std::optional<statement> waiting_statement_;
    instant waiting_since_ = never;
    instant last_active_ = never;
};

} // namespace tanagerspan

#endif
