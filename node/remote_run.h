#ifndef TANAGERSPAN_NODE_REMOTE_RUN_H
#define TANAGERSPAN_NODE_REMOTE_RUN_H

// Takes one statement of a caller to a home of its service and the outcome
// back. The home does what statement_run does; here only the loss of the home
// is judged, by the same policy as the loss of an endpoint: what may have run
// and must not run twice is not sent again.
//
// A home that turns silent is left by work that may start anew; a run that it
// still carries out keeps nothing, since it is told so before anything else,
// or its link ends.
//
// Traffic thread only.

#include <memory>
#include <string>
#include <string_view>
#include <vector>

#include "node/caller_run.h"
#include "node/service_gateway.h"

namespace tanagerspan
{

class remote_run final : public caller_run,
                         public std::enable_shared_from_this<remote_run>
{
public:
    remote_run(std::shared_ptr<service_gateway> gateway, run_options run,
               done_handler done);

    void start() override;
    void tick(instant now) override;
    void abandon() override;

private:
    enum class phase
    {
        waiting, ///< for a link to a home
        sent,
        here, ///< no home could be reached
        finished
    };

    /// The home answers by the statement's deadline; its answer is on the way
    /// for a round trip and a turn of a busy process.
    static constexpr std::int64_t answer_margin_ms = 60;
    /// A statement waits this long for a home to become reachable: about as
    /// long as a process takes to start. A connection of this proxy's own
    /// comes last, since all hosts of the fleet may be in the same need.
    static constexpr std::int64_t home_wait_ms = 400;
    /// And at most this part of its timeout.
    static constexpr std::int64_t wait_part = 3;
    /// Homes that may send a statement on before one has to take it: a cut
    /// that three of them share is no matter of single hosts.
    static constexpr std::size_t most_declined = 2;

    void next_home();
    void run_here();
    void send(std::shared_ptr<home_link> to);
    void on_outcome(const std::shared_ptr<home_link>& from,
                    const result<remote_outcome>& got);
    void settle(attempt_failure how, std::string_view detail);
    void move_on(std::string_view why);
    void leave_home();
    bool may_move(attempt_failure how) const;
    attempt_step step() const;
    void finish(run_outcome outcome);

    std::shared_ptr<service_gateway> gateway_;
    run_options options_;
    done_handler done_;
    phase phase_ = phase::waiting;
    std::shared_ptr<home_link> home_;
    std::uint64_t run_ = 0;
    std::vector<std::string> excluded_; ///< homes that were tried
    instant waiting_since_ = never;
    std::size_t declined_ = 0; ///< homes that sent it on
    std::shared_ptr<caller_run> local_;
};

} // namespace tanagerspan

#endif
