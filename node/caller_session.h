#ifndef TANAGERSPAN_NODE_CALLER_SESSION_H
#define TANAGERSPAN_NODE_CALLER_SESSION_H

// One caller's session: a connection, what was set and prepared on it, and
// its transaction.
//
// Statements are taken one at a time, in order. What needs no endpoint is
// answered here: begin (which goes out with the first statement), set,
// prepare, deallocate and rollback. The rest is taken to an endpoint by a
// caller_run, on the transaction's connection if there is one.
//
// A transaction whose connection broke, that was refused, or that rested for
// too long is failed: it keeps nothing, and only its end is accepted.
//
// Traffic thread only.

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>

#include "node/caller_run.h"
#include "node/service_gateway.h"
#include "state/latency_histograms.h"

namespace tanagerspan
{

/// What sessions count, read by the metrics page.
struct session_counters
{
    std::uint64_t sessions_ = 0;
    std::uint64_t statements_ = 0;
    std::uint64_t answered_ = 0;
    std::map<std::string, std::uint64_t> refused_; ///< by error
    latency_histograms latencies_;
};

/// What a session needs of its surroundings; all outlive it.
struct session_surroundings
{
    const session_codec* codec_ = nullptr;
    session_counters* counters_ = nullptr;
    /// The route of a database; null while there is none, or no table.
    std::function<const database_route*(const std::string&)> route_of_;
    std::function<std::shared_ptr<service_gateway>(const std::string&)>
        gateway_of_;
    /// Routes and endpoints are known.
    std::function<bool()> is_ready_;
    std::function<std::int64_t()> transaction_idle_ms_;
};

class caller_session : public std::enable_shared_from_this<caller_session>
{
public:
    caller_session(tcp_socket socket, const session_surroundings& around);

    void start();

    /// Time limits; false once the session is over and may be dropped.
    bool tick(instant now);

    /// Ends the session as soon as it is in no transaction.
    void drain();
    /// Rolls an open transaction back that is not at work.
    void end_transaction();

    bool is_over() const
    {
        return over_;
    }
    bool is_idle() const
    {
        return !run_ && !in_transaction();
    }

private:
    bool in_transaction() const
    {
        return begin_ || open_ || failed_;
    }
    void take_messages();
    void on_open(const open_session& wanted);
    void retry_open(instant now);
    void on_statement(const statement& what);
    bool answer_here(const statement& what);
    void begin(const statement& what);
    void roll_back();
    void end_failed(const statement& what);
    void run(const statement& what);
    void on_outcome(const statement& what, bool writes, instant arrived,
                    run_outcome outcome);
    void note_commit(const statement& what, const run_outcome& outcome,
                     bool wrote);
    void answer(const reply& value);
    void answer_done();
    void refuse(reply_error error, std::string_view text);
    transaction_state state() const;
    void end(std::string_view why);

    session_surroundings around_;
    std::shared_ptr<byte_stream> stream_;
    std::string database_;
    bool opened_ = false;
    std::optional<open_session> waiting_open_; ///< until routes are known
    instant open_since_ = never;
    bool over_ = false;
    bool draining_ = false;
    bool taking_ = false;
    session_context context_;
    database_route route_;                ///< of the transaction in progress
    std::optional<statement_kind> begin_; ///< answered, but not sent yet
    std::optional<pinned_transaction> open_;
    bool failed_ = false;
    std::shared_ptr<service_gateway> gateway_;
    std::shared_ptr<caller_run> run_;
    instant last_active_ = never;
};

} // namespace tanagerspan

#endif
