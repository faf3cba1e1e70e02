#ifndef TANAGERSPAN_NODE_STATEMENT_RUN_H
#define TANAGERSPAN_NODE_STATEMENT_RUN_H

// The execution of one statement of a caller, either over this proxy's own
// connections to endpoints (`local_run`) or through a home of the service
// (`remote_run`).
//
//   auto run = gateway->make_run(options, done);
//   run->start();
//   run->tick(now); // repeatedly, until `done` was called
//
// `done` is called once, unless `abandon` is called first. It can be called
// from within `start` and `tick`.
//
// Not thread safe: use on the traffic thread only.

#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string_view>

#include "coordination/attempt_policy.h"
#include "coordination/endpoint_choice.h"
#include "coordination/session_replay.h"
#include "node/endpoint_link.h"
#include "state/service_catalogue.h"

namespace tanagerspan
{

class home_link;

/// The state of a session on which its statements depend.
struct session_context
{
    session_state values_;
    /// The position of the session's latest commit and the time at which the
    /// commit was acknowledged.
    std::optional<position_requirement> own_commit_;
};

/// Where an open transaction runs: on a connection of this proxy to an
/// endpoint, or at a home, under a number that is unique on the link to that
/// home.
struct pinned_transaction
{
    link_ptr link_{};
    std::shared_ptr<home_link> home_{};
    std::uint64_t number_ = 0;
    bool ran_any_ = false;
    bool wrote_ = false;
};

/// The result of an execution.
struct run_outcome
{
    reply answer_;
    /// Set if the caller's transaction is still open.
    std::optional<pinned_transaction> transaction_{};
    bool rolled_back_ = false; ///< the caller's transaction has ended
};

/// A statement to execute and the state of its session.
struct run_options
{
    statement statement_;
    /// The prepared statement that an execute refers to.
    std::optional<prepared_statement> shape_{};
    bool writes_ = false;
    /// The begin to send before the first statement of a transaction.
    std::optional<statement_kind> begin_{};
    std::optional<pinned_transaction> transaction_{};
    database_route route_{};
    /// The client account on whose connections the statement may run; empty on
    /// a public route.
    std::string account_{};
    instant arrived_{};
    /// If set, the statement may be sent only until then, because the settings
    /// that identify its caller are known to be current only until then.
    std::optional<instant> valid_until_{};
    const session_context* session_ = nullptr; ///< outlives the run

    bool in_transaction() const
    {
        return begin_ || transaction_;
    }
    /// Whether only the primary can execute the statement.
    bool needs_primary() const
    {
        return writes_ || begin_ == statement_kind::begin ||
               (route_.consistency_ == read_consistency::primary && !begin_);
    }
    instant deadline() const
    {
        return arrived_ + route_.timeout_ms_;
    }
    /// Whether the statement may no longer be sent.
    bool is_expired(instant now) const
    {
        return valid_until_ && now >= *valid_until_;
    }
};

/// The reason with which statements of keyed callers are refused while the
/// settings may be out of date.
constexpr std::string_view settings_too_old = "the settings are too old";

class statement_run
{
public:
    using done_handler = std::function<void(run_outcome)>;

    virtual ~statement_run() = default;

    virtual void start() = 0;

    /// Applies the timeouts and repeats an unanswered read at another
    /// endpoint. Call it every few tens of milliseconds.
    virtual void tick(instant now) = 0;

    /// Stops the execution because its caller disconnected. `done` is not
    /// called afterwards.
    virtual void abandon() = 0;
};

/// The step that a failure interrupts once the statement has been sent.
attempt_step step_in_flight(const run_options& run);

/// The open transaction after one of its statements was answered.
/// `location` is where the transaction runs if `run` started it.
pinned_transaction updated_transaction(const run_options& run,
                                       pinned_transaction location);

/// The outcome of an execution that fails without an endpoint's answer.
run_outcome refused_outcome(const run_options& run, reply_error error,
                            std::string_view why);

} // namespace tanagerspan

#endif
