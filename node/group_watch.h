#ifndef TANAGERSPAN_NODE_GROUP_WATCH_H
#define TANAGERSPAN_NODE_GROUP_WATCH_H

// Runs the `group_monitor` of a service for which this proxy is a home: sends
// the monitor's requests to the members and publishes its view. Each member
// has two serial executors. All methods run on the control thread.

#include <functional>
#include <memory>
#include <string>
#include <vector>

#include "coordination/group_monitor.h"
#include "node/decision_journal.h"
#include "node/serial_executor.h"
#include "node/service_route.h"

namespace tanagerspan
{

class group_watch
{
public:
    using poster = std::function<void(std::function<void(instant)>)>;

    struct options
    {
        std::string service_{};
        service_settings settings_{};
        std::string claimant_{};
        std::size_t rank_ = 0; ///< of this home, from 0
        std::size_t home_count_ = 1;
        std::size_t max_waiting_ = 200; ///< queued statements per member
        std::uint64_t seed_ = 1;
        /// How long a member may delay its answer to a status request.
        std::int64_t probe_wait_ms_ = 300;
        std::int64_t silence_ms_ = 600; ///< see `group_monitor`
    };

    group_watch(options opts, decision_journal& journal, poster post,
                instant now);
    ~group_watch();

    /// Performs the monitor's due actions and publishes a changed view.
    void tick(instant now);

    /// Makes all answers in flight be ignored, so that this watch may be
    /// destroyed on another thread.
    void ignore_answers()
    {
        alive_.reset();
    }

    group_monitor& monitor()
    {
        return monitor_;
    }
    const std::shared_ptr<home_service>& home() const
    {
        return home_;
    }
    const options& settings() const
    {
        return options_;
    }

private:
    struct member_executors;

    void perform(const group_monitor::action& action);
    void send_probe(const group_monitor::probe& probe);
    void send_step(const promotion::message& message);
    void send_hold(const group_monitor::hold& action);

    options options_;
    decision_journal& journal_;
    poster post_;
    group_monitor monitor_;
    std::shared_ptr<home_service> home_;
    std::vector<std::unique_ptr<member_executors>> executors_;
    std::shared_ptr<bool> alive_;
};

} // namespace tanagerspan

#endif
