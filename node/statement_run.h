#ifndef TANAGERSPAN_NODE_STATEMENT_RUN_H
#define TANAGERSPAN_NODE_STATEMENT_RUN_H

// Takes one statement of a caller to an endpoint and its answer back, over the
// connections of this proxy.
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
#include "node/caller_run.h"
#include "node/endpoint_group.h"

namespace tanagerspan
{

class statement_run final : public caller_run,
                            public std::enable_shared_from_this<statement_run>
{
public:
    statement_run(std::shared_ptr<endpoint_group> group, run_options opts,
                  done_handler done);

    void start() override;
    void tick(instant now) override;
    void abandon() override;

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

    std::shared_ptr<endpoint_group> group_;
    run_options options_;
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
