#ifndef TANAGERSPAN_NODE_STATEMENT_RUN_H
#define TANAGERSPAN_NODE_STATEMENT_RUN_H

// Takes one statement of a caller to an endpoint and its answer back.
//
// How it goes there depends on what it must have seen:
//   - a write goes to the primary, which refuses it if it does not lead;
//   - a read that must see everything goes to the primary inside a begin of
//     the proxy's own, since a member that lost the lead answers a plain read
//     from its old log but refuses the begin and everything after it;
//   - any other read goes to any endpoint, after a position that covers what
//     it must have seen; where none has it, the read goes as the one before;
//   - the first statement of a transaction is preceded by its begin, which is
//     awaited: a statement must not run outside of it.
// What follows a failure is judged by coordination/attempt_policy.h.
//
// A read whose endpoint stays silent is sent to another one, within a budget;
// the first answer counts.
// Traffic thread only.

#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "coordination/attempt_policy.h"
#include "node/endpoint_group.h"

namespace tanagerspan
{

/// What the session knows that its statements depend on.
struct session_context
{
    session_values values_;
    /// The session's newest own commit and when it was acknowledged.
    std::optional<position_need> own_commit_;
};

/// An open transaction's connection.
struct pinned_transaction
{
    link_ptr link_;
    bool ran_any_ = false;
    bool wrote_ = false;
};

struct run_outcome
{
    reply answer_;
    /// Set while the caller's transaction goes on.
    std::optional<pinned_transaction> transaction_;
    bool rolled_back_ = false; ///< the caller's transaction is over
};

class statement_run : public std::enable_shared_from_this<statement_run>
{
public:
    struct options
    {
        statement what_;
        std::optional<prepared_shape> shape_{}; ///< of an execute
        bool writes_ = false;
        /// The begin that precedes a transaction's first statement.
        std::optional<statement_kind> begin_{};
        std::optional<pinned_transaction> transaction_{};
        database_route route_;
        instant arrived_{};
        const session_context* session_ = nullptr; ///< outlives the run
    };
    using done_handler = std::function<void(run_outcome)>;

    statement_run(std::shared_ptr<endpoint_group> group, options opts,
                  done_handler done);

    void start();

    /// Ends the run if its time is over, or repeats a read that got no
    /// answer yet. Called every few ten milliseconds.
    void tick(instant now);

    /// The caller is gone: nothing of it is delivered any more.
    void abandon();

private:
    enum class way
    {
        inside, ///< a statement of the caller's transaction
        write,
        proven_read, ///< inside a begin of the proxy's own
        positioned_read
    };

    enum class phase
    {
        waiting, ///< for a connection, or for the time of the next attempt
        beginning,
        running,
        finished
    };

    instant deadline() const;
    std::optional<position_need> need(instant now) const;
    void choose_way(instant now);
    void next_attempt();
    void on_link(const link_ptr& link);
    statement begin_statement() const;
    void replay(const link_ptr& link);
    void ask_begin();
    void on_begin(const link_ptr& link, const result<reply>& got);
    void ask_statement();
    void on_statement(const link_ptr& link, const result<reply>& got);
    void succeed(reply got);
    void accept_late(const link_ptr& link, const reply& got);
    void settle(attempt_failure how, const std::optional<reply>& got,
                std::string_view detail);
    void tell_group(attempt_failure how, const std::optional<reply>& got,
                    instant now);
    void release(const attempt_ruling& ruling, instant now);
    void retry(instant now);
    void deliver_error(const reply& got);
    void refuse(reply_error error, std::string_view why);
    void finish(run_outcome outcome);
    attempt_step step() const;
    bool in_transaction() const;

    std::shared_ptr<endpoint_group> group_;
    options options_;
    done_handler done_;
    phase phase_ = phase::waiting;
    way way_ = way::write;
    link_ptr link_;
    endpoint_group::ticket ticket_ = 0;
    std::optional<position_need> need_;
    std::vector<std::string> excluded_;
    std::int64_t attempts_ = 0;
    instant asked_ = never;
    instant retry_at_ = never;
    bool begun_ = false;  ///< a begin of this run succeeded on the link
    bool lagged_ = false; ///< no endpoint had the position
    bool asked_elsewhere_ = false;
};

} // namespace tanagerspan

#endif
