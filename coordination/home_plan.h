#ifndef TANAGERSPAN_COORDINATION_HOME_PLAN_H
#define TANAGERSPAN_COORDINATION_HOME_PLAN_H

// Which hosts hold connections to a service's endpoints (its homes), and
// through which home any other host sends its statements.
//
// The load it answers: many hosts before endpoints with few connections. With
// less than a connection a host, each statement opens one, which takes a slot
// of the endpoint as long as a statement does, and most are refused. A few
// homes keep theirs open, see more of the service's work each, and so judge
// its queue better. A fleet that is small enough has no need of the extra hop:
// then every host is a home.
//
// Homes are chosen by rendezvous hashing, the same number in each data centre
// as far as it goes, so that most statements find a home nearby. Hosts may
// differ in their view; a home serves whoever asks, and an endpoint's own limit
// bounds the connections.
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

/// What a service's endpoints allow.
struct service_capacity
{
    std::int64_t connections_ = 0; ///< of each endpoint, for all hosts; 0: any
    std::int64_t slots_ = 0;       ///< of all endpoints together

    bool operator==(const service_capacity&) const = default;
};

/// How many of `hosts` are homes; all of them where that is no more than the
/// endpoints can serve well.
std::size_t home_count(const service_capacity& capacity, std::size_t hosts);

/// The homes of a service in the order in which they claim its duties.
std::vector<fleet_host> choose_homes(std::string_view service,
                                     std::span<const fleet_host> hosts,
                                     std::size_t count);

/// The homes in the order in which `own` turns to them: those of its data
/// centre first; hosts of one data centre start at different homes.
std::vector<fleet_host> homes_for(const fleet_host& own,
                                  std::string_view service,
                                  std::span<const fleet_host> homes);

/// One service as one host sees it.
struct service_homes
{
    std::vector<fleet_host> claim_order_; ///< by the order of claims
    std::vector<fleet_host>
        forwarding_order_; ///< by the order of this host's use
    bool is_home_ = false; ///< this host is one of them
    std::size_t connections_per_endpoint_ =
        1; ///< connections a home may have to an endpoint
};

/// By service.
using home_plan = std::map<std::string, service_homes>;
using home_plan_ptr = std::shared_ptr<const home_plan>;

/// Keeps the plan for one host. A plan costs a hash a host and service, so
/// it is made anew only for what changed: all services when hosts come or go,
/// else those whose endpoints allow something else than before.
class home_planner
{
public:
    explicit home_planner(fleet_host own) : own_(std::move(own))
    {
    }

    /// The plan for these hosts and services; the own host counts as live
    /// whether it is listed or not. The same object while nothing changed.
    home_plan_ptr
    update(std::span<const fleet_host> hosts,
           const std::map<std::string, service_capacity>& services);

    /// Services planned anew so far.
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
