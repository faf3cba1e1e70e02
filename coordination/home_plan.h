#ifndef TANAGERSPAN_COORDINATION_HOME_PLAN_H
#define TANAGERSPAN_COORDINATION_HOME_PLAN_H

// Plans which hosts hold connections to a service's endpoints (the service's
// homes), and through which home every other host sends its statements.
//
// Reason: a fleet may have many hosts and endpoints that allow few
// connections. With less than one connection a host, each statement would
// open its own, which occupies a slot of the endpoint for as long as a
// statement does, and most would be refused. A few homes keep their
// connections open and, since each sees more of the service's statements,
// estimate the endpoint's queue better. In a fleet that is small enough every
// host is a home, which saves the extra hop.
//
// Homes are chosen by rendezvous hashing, as evenly over the data centres as
// possible, so that most statements find a home nearby. Hosts may have
// different views of the fleet: a home serves any host that asks, and the
// endpoint's own limit bounds the connections.
//
// Pure. Not thread safe.

#include <cstddef>
#include <cstdint>
#include <map>
#include <memory>
#include <span>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "state/fleet_host.h"

namespace tanagerspan
{

/// The limits of a service's endpoints.
struct service_capacity
{
    std::int64_t connections_ = 0; ///< per endpoint, for all hosts; 0: no limit
    std::int64_t slots_ = 0;       ///< of all endpoints together
    /// Connections belong to client accounts.
    bool shared_by_accounts_ = false;

    bool operator==(const service_capacity&) const = default;
};

/// How many of `hosts` are homes: all of them if the endpoints have enough
/// connections and slots for that.
std::size_t home_count(const service_capacity& capacity, std::size_t hosts);

/// The homes of a service, in the order in which they claim a takeover.
std::vector<fleet_host> choose_homes(std::string_view service,
                                     std::span<const fleet_host> hosts,
                                     std::size_t count);

/// The homes in the order in which the host `own` tries them: homes in its own
/// data centre first. The order differs between hosts, to spread the load.
std::vector<fleet_host> forwarding_order(const fleet_host& own,
                                         std::string_view service,
                                         std::span<const fleet_host> homes);

/// The homes of `service`, in the order in which the statements of `account`
/// try them: homes in the data centre `own` first. All hosts of a data centre
/// use the same order, so that an account's connections are at one home.
std::vector<fleet_host> account_order(std::string_view own,
                                      std::string_view service,
                                      std::string_view account,
                                      std::span<const fleet_host> homes);

/// The plan of one service for one host.
struct service_homes
{
    std::vector<fleet_host> claim_order_;      ///< from `choose_homes`
    std::vector<fleet_host> forwarding_order_; ///< from `forwarding_order`
    bool is_home_ = false;                     ///< this host is a home
    /// Connections that a home may have to each endpoint.
    std::size_t connections_per_endpoint_ = 1;
};

/// By service.
using home_plan = std::map<std::string, service_homes>;
using home_plan_ptr = std::shared_ptr<const home_plan>;

/// Maintains the plan of one host. A plan takes one hash for each host and
/// service, so only what changed is planned again: all services when the hosts
/// change, otherwise the services whose capacity changed.
class home_planner
{
public:
    explicit home_planner(fleet_host own) : own_(std::move(own))
    {
    }

    /// Returns the plan for these hosts and services. This proxy's own host
    /// is always included, even if `hosts` does not list it. Returns the same
    /// object as before if nothing changed.
    home_plan_ptr
    update(std::span<const fleet_host> hosts,
           const std::map<std::string, service_capacity>& services);

    /// The number of service plans computed so far.
    std::size_t computed_plans() const
    {
        return computed_plans_;
    }

private:
    service_homes plan(const std::string& service,
                       const service_capacity& capacity) const;

    fleet_host own_;
    std::vector<fleet_host> live_;
    std::map<std::string, service_capacity> services_;
    home_plan_ptr plan_;
    std::size_t computed_plans_ = 0;
};

} // namespace tanagerspan

#endif
