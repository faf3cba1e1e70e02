#ifndef TANAGERSPAN_NODE_SERVICE_ROUTE_H
#define TANAGERSPAN_NODE_SERVICE_ROUTE_H

// The immutable snapshot of the fleet that traffic threads read. The control
// thread publishes it. A `home_service` is shared by all snapshots that
// contain it; its view, pools and slot limiters are thread safe.

#include <atomic>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <string>
#include <vector>

#include "coordination/retry_budget.h"
#include "state/team_settings.h"
#include "transport/connection_pool.h"
#include "transport/published_view.h"
#include "transport/slot_limiter.h"

namespace tanagerspan
{

/// This proxy's connections to one member, and the slots of that member that
/// its seat may use.
struct member_pool
{
    member_pool(connection_pool::options pool, admission_queue::options queue)
        : address_(pool.address_), pool_(std::move(pool)), slot_limiter_(queue)
    {
    }

    std::string address_;
    connection_pool pool_;
    slot_limiter slot_limiter_;
};

/// State of a service for which this proxy is a home.
struct home_service
{
    std::string seat_; ///< sent to the members: "rank/homes"
    published_view view_;
    std::vector<std::unique_ptr<member_pool>> members_;
    /// Requests the status of all members now. Any thread.
    std::function<void()> poll_now_;
    std::mutex retry_budget_mutex_; ///< guards `retry_budget_`
    retry_budget retry_budget_{{}};
};

/// Where this proxy sends a service's statements: to the members if it is a
/// home of the service, else to one of the homes.
struct service_route
{
    std::string service_;
    std::string team_;
    service_settings settings_;
    std::uint64_t version_ = 0;           ///< of the team's settings
    std::vector<std::string> home_names_; ///< by rank
    /// By rank; an address is empty while it is unknown.
    std::vector<std::string> home_addresses_;
    std::shared_ptr<home_service> home_; ///< null if not a home
};

/// The routes of all services at one moment.
struct fleet_snapshot
{
    /// By service, as TEAM/NAME.
    std::map<std::string, service_route, std::less<>> routes_;
    /// By proxy name.
    std::map<std::string, std::string, std::less<>> peer_addresses_;
    bool ready_ = false; ///< whether settings have been received
};

/// Counters exported as metrics; see docs/OPERATIONS.md.
struct node_counters
{
    std::atomic<std::uint64_t> reads_{0};
    std::atomic<std::uint64_t> replica_reads_{0};
    std::atomic<std::uint64_t> writes_{0};
    std::atomic<std::uint64_t> not_run_{0};
    std::atomic<std::uint64_t> unknown_{0};
    std::atomic<std::uint64_t> forwarded_{0};
    std::atomic<std::uint64_t> retries_{0};
    std::atomic<std::int64_t> in_flight_{0};
};

} // namespace tanagerspan

#endif
