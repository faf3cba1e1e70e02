#ifndef TANAGERSPAN_NODE_CONTROL_LOOP_H
#define TANAGERSPAN_NODE_CONTROL_LOOP_H

// The control thread of `tanager_proxy`: the only thread that accesses the
// control state (membership, settings, group monitors). Other threads post
// events to it and read the snapshot that it publishes. Blocking calls run on
// serial executors, never on the control thread itself.
//
// All decisions are made in coordination/; this class passes events to that
// code and performs the actions that it returns.

#include <atomic>
#include <condition_variable>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <thread>

#include "coordination/home_ranking.h"
#include "coordination/membership.h"
#include "coordination/settings_propagation.h"
#include "node/decision_journal.h"
#include "node/group_watch.h"
#include "node/proxy_settings.h"
#include "node/serial_executor.h"
#include "node/service_route.h"
#include "transport/peer_connections.h"

namespace tanagerspan
{

/// The body of a gossip frame between proxies.
struct gossip_message
{
    std::vector<peer_record> peer_records_;
    std::vector<std::uint64_t> digests_;
    std::vector<settings_branch> branches_;
};

constexpr auto fields_of(const gossip_message*)
{
    return std::tuple{
        field{"news", &gossip_message::peer_records_, {.max_ = 64}},
        field{"digests",
              &gossip_message::digests_,
              {.max_ = settings_tree::digest_buckets}},
        field{"branches", &gossip_message::branches_, {.max_ = 64}}};
}

class control_loop
{
public:
    using event = std::function<void(instant)>;

    control_loop(const proxy_settings& settings, peer_client& client,
                 decision_journal& journal);
    ~control_loop();

    /// Starts the control thread.
    void start();

    /// Stops the control thread, the executors and the watches.
    void stop();

    /// Runs `work` on the control thread. Any thread.
    void post(event work);

    /// Runs `work` on the control thread and waits until it has finished. Any
    /// thread except the control thread, which would wait for itself.
    void call(const event& work);

    /// The latest snapshot. Any thread.
    std::shared_ptr<const fleet_snapshot> snapshot() const;

    // Control thread only, for use in events.
    membership& peers()
    {
        return membership_;
    }
    settings_propagation& settings()
    {
        return spread_;
    }
    const std::map<std::string, std::unique_ptr<group_watch>>& watches() const
    {
        return watches_;
    }

    /// Handles the body of a peer's gossip frame and returns the body of the
    /// answer. Any thread except the control thread.
    nlohmann::json on_gossip(const nlohmann::json& body);

private:
    void run();
    void tick(instant now);
    void gossip(instant now);
    void push_settings();
    void read_platform(instant now);
    void apply_gossip(const gossip_message& message, instant now);
    gossip_message next_gossip();
    void reconcile(instant now);
    void update_route(const std::string& service, const std::string& team,
                      const service_settings& settings, std::uint64_t version,
                      fleet_snapshot& next, instant now);
    void remove_watch(const std::string& service);

    const proxy_settings& settings_;
    peer_client& peer_client_;
    decision_journal& journal_;
    membership membership_;
    settings_propagation spread_;
    ranking_cache homes_;
    std::map<std::string, std::unique_ptr<group_watch>> watches_;

    std::unique_ptr<serial_executor> gossip_executor_;
    std::unique_ptr<serial_executor> push_executor_;
    std::unique_ptr<serial_executor> platform_executor_;
    std::unique_ptr<serial_executor> disposal_executor_;
    std::unique_ptr<http_connection> platform_;
    std::uint64_t table_revision_ = 0; ///< of the platform executor only
    std::atomic<bool> platform_busy_{false};

    mutable std::mutex mutex_;
    std::condition_variable wake_up_;
    std::deque<event> pending_events_;
    bool stopping_ = false;
    std::shared_ptr<const fleet_snapshot> snapshot_;
    std::thread thread_;
};

} // namespace tanagerspan

#endif
