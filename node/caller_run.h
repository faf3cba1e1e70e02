#ifndef TANAGERSPAN_NODE_CALLER_RUN_H
#define TANAGERSPAN_NODE_CALLER_RUN_H

// The run of one statement of a caller, wherever it takes place: here
// (statement_run) or at a home of the service (remote_run).
//
//   auto run = gateway->make_run(options, done);
//   run->start();    // `done` is called once, not from within, unless
//   run->tick(now);  // the run is abandoned first
//
// Traffic thread only.

#include <cstdint>
#include <functional>
#include <memory>
#include <optional>

#include "coordination/attempt_policy.h"
#include "coordination/endpoint_choice.h"
#include "coordination/session_replay.h"
#include "node/endpoint_link.h"
#include "state/service_catalogue.h"

namespace tanagerspan
{

class home_link;

/// What the session knows that its statements depend on.
struct session_context
{
    session_values values_;
    /// The session's newest own commit and when it was acknowledged.
    std::optional<position_need> own_commit_;
};

/// Where an open transaction is kept: on a connection of this proxy, or at a
/// home under a number that is unique on the link to it.
struct pinned_transaction
{
    link_ptr link_{};
    std::shared_ptr<home_link> home_{};
    std::uint64_t number_ = 0;
    bool ran_any_ = false;
    bool wrote_ = false;
};

struct run_outcome
{
    reply answer_;
    /// Set while the caller's transaction goes on.
    std::optional<pinned_transaction> transaction_{};
    bool rolled_back_ = false; ///< the caller's transaction is over
};

struct run_options
{
    statement statement_;
    std::optional<prepared_shape> shape_{}; ///< of an execute
    bool writes_ = false;
    /// The begin that precedes a transaction's first statement.
    std::optional<statement_kind> begin_{};
    std::optional<pinned_transaction> transaction_{};
    database_route route_{};
    instant arrived_{};
    const session_context* session_ = nullptr; ///< outlives the run

    bool in_transaction() const
    {
        return begin_ || transaction_;
    }
    /// It can be served by the primary alone.
    bool needs_primary() const
    {
        return writes_ || begin_ == statement_kind::begin ||
               (route_.consistency_ == read_consistency::primary && !begin_);
    }
    instant deadline() const
    {
        return arrived_ + route_.timeout_ms_;
    }
};

class caller_run
{
public:
    using done_handler = std::function<void(run_outcome)>;

    virtual ~caller_run() = default;

    virtual void start() = 0;

    /// Ends the run if its time is over, or repeats a read that got no
    /// answer yet. Called every few ten milliseconds.
    virtual void tick(instant now) = 0;

    /// The caller is gone: nothing of it is delivered any more.
    virtual void abandon() = 0;
};

/// What was under way in a run of which something was sent.
attempt_step step_in_flight(const run_options& run);

/// The transaction after a statement of it succeeded or failed inside it.
pinned_transaction continued(const run_options& run,
                             pinned_transaction otherwise);

/// The end of a run without an answer of an endpoint.
run_outcome refusal(const run_options& run, reply_error error,
                    std::string_view why);

} // namespace tanagerspan

#endif
