#ifndef TANAGERSPAN_NODE_REMOTE_RUN_H
#define TANAGERSPAN_NODE_REMOTE_RUN_H

// Executes one statement of a caller through a home of its service. The home
// executes it as a `local_run`; this class handles the failures of the
// home and of the link to it, by the policy that also applies to endpoints
// (coordination/attempt_policy.h): a write that may have run is never sent
// again.
//
// When a home stops answering, statements that can be repeated move to the
// next home. Before that, the silent home is sent an abandon frame; a run that
// is still in progress there ends when the home reads the frame or when the
// link ends, and none of the run's changes are kept.
//
// Not thread safe: use on the traffic thread only.

#include <memory>
#include <string>
#include <string_view>
#include <vector>

#include "node/service_gateway.h"
#include "node/statement_run.h"

namespace tanagerspan
{

class remote_run final : public statement_run,
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
        waiting, ///< waiting for a link to a home
        sent,
        local, ///< executed by this proxy, because no home could be reached
        finished
    };

    /// Allowance beyond the statement's deadline, by which the home answers:
    /// a round trip and the scheduling delay of a busy process.
    static constexpr std::int64_t answer_margin_ms = 60;
    /// How long a statement waits for a home to become reachable: about the
    /// time that a process takes to start. The wait comes before the use of
    /// this proxy's own connections, because all hosts of the fleet may need
    /// connections at the same time.
    static constexpr std::int64_t home_wait_ms = 400;
    /// The wait is limited to the statement's timeout divided by this.
    static constexpr std::int64_t home_wait_divisor = 3;
    /// How many homes may decline a statement before the next one must execute
    /// it. If three homes cannot reach the primary, the cause is not the
    /// network of single hosts.
    static constexpr std::size_t max_declined = 2;

    void try_next_home();
    void run_locally();
    void send(std::shared_ptr<home_link> to);
    void on_outcome(const std::shared_ptr<home_link>& from,
                    const result<remote_outcome>& got);
    void on_failure(attempt_failure cause, std::string_view detail);
    void try_other_home(std::string_view why);
    void abandon_at_home();
    bool may_resend(attempt_failure cause) const;
    attempt_step step() const;
    void finish(run_outcome outcome);

    std::shared_ptr<service_gateway> gateway_;
    run_options options_;
    done_handler done_;
    phase phase_ = phase::waiting;
    std::shared_ptr<home_link> home_;
    std::uint64_t run_id_ = 0;
    std::vector<std::string> excluded_; ///< names of homes that were tried
    instant waiting_since_ = never;
    std::size_t declined_ = 0; ///< homes that declined the statement
    std::shared_ptr<statement_run> local_;
};

} // namespace tanagerspan

#endif
