#ifndef TANAGERSPAN_NODE_SERVICE_GATEWAY_H
#define TANAGERSPAN_NODE_SERVICE_GATEWAY_H

// Chooses how the statements of this proxy's sessions reach one service: over
// this proxy's own connections if it is a home of the service, otherwise
// through a home (see coordination/home_plan.h).
//
// Homes that are silent, leaving or unreachable are skipped. If no home is
// left, the statement runs over a connection of this proxy: after a wait, and
// at the cost of setting up a connection, but it is not refused.
//
// If this proxy is a home and cannot reach the primary, statements that need
// the primary go to other homes first. The primary may be unreachable from
// some proxies only, and then it is not always replaced.
//
// Not thread safe: use on the traffic thread only.

#include <map>
#include <memory>
#include <span>
#include <string>
#include <vector>

#include "coordination/home_plan.h"
#include "node/endpoint_group.h"
#include "node/home_link.h"
#include "node/statement_run.h"

namespace tanagerspan
{

class service_gateway : public std::enable_shared_from_this<service_gateway>
{
public:
    service_gateway(fleet_host own, std::string service,
                    std::shared_ptr<endpoint_group> group, home_pool& homes);

    void set_homes(service_homes homes);

    std::shared_ptr<statement_run> make_run(run_options run,
                                            statement_run::done_handler done);

    /// Rolls back a caller's open transaction.
    void roll_back(const pinned_transaction& open, instant now);

    /// Maintains the group's connections and the links to the preferred homes.
    void tick(instant now);

    /// The link to the first usable home for statements of `account` whose name
    /// is not in `excluded`; null if there is none.
    std::shared_ptr<home_link> pick_home(const std::string& account,
                                         std::span<const std::string> excluded,
                                         instant now);

    /// Whether this proxy is a home of the service.
    bool is_home() const
    {
        return homes_.is_home_;
    }
    const std::shared_ptr<endpoint_group>& group() const
    {
        return group_;
    }

private:
    /// The number of links to homes that are kept open: the one in use and the
    /// one to the next choice.
    static constexpr std::size_t warm_homes = 2;

    fleet_host own_;
    std::string service_;
    std::shared_ptr<endpoint_group> group_;
    home_pool& pool_;
    /// The homes in the order in which the statements of `account` try them.
    std::span<const fleet_host> homes_for(const std::string& account);

    service_homes homes_{.is_home_ = true};
    /// Cached values of `account_order`, by account.
    std::map<std::string, std::vector<fleet_host>> account_homes_;
};

} // namespace tanagerspan

#endif
