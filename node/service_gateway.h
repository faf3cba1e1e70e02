#ifndef TANAGERSPAN_NODE_SERVICE_GATEWAY_H
#define TANAGERSPAN_NODE_SERVICE_GATEWAY_H

// How the sessions of this proxy reach one service: over its own connections
// where it is a home, else through a home (see coordination/home_plan.h).
//
// A home that is silent, leaves or can't be reached is passed over. Where no
// home is left, the statement runs over a connection of this proxy all the
// same: late and dear, but not refused.
//
// Where this proxy is a home but does not reach the primary, work that needs
// the primary is offered to other homes first: the primary may be cut from
// some proxies only, and is then not always replaced.
//
// Traffic thread only.

#include <memory>
#include <span>
#include <string>

#include "coordination/home_plan.h"
#include "node/caller_run.h"
#include "node/endpoint_group.h"
#include "node/home_link.h"

namespace tanagerspan
{

class service_gateway : public std::enable_shared_from_this<service_gateway>
{
public:
    service_gateway(std::string own_name, std::shared_ptr<endpoint_group> group,
                    home_pool& homes);

    void set_homes(service_homes homes);

    std::shared_ptr<caller_run> make_run(run_options run,
                                         caller_run::done_handler done);

    /// The caller's transaction is over and keeps nothing.
    void roll_back(const pinned_transaction& open, instant now);

    /// Keeps the links that are used first, and the group's connections.
    void tick(instant now);

    /// The first home that takes work; null if there is none now.
    std::shared_ptr<home_link> pick_home(std::span<const std::string> excluded,
                                         instant now);

    /// This proxy's own connections are the last choice.
    bool is_home() const
    {
        return homes_.own_;
    }
    const std::shared_ptr<endpoint_group>& group() const
    {
        return group_;
    }

private:
    /// Kept open: the one in use and the one that would be next.
    static constexpr std::size_t warm_homes = 2;

    std::string own_name_;
    std::shared_ptr<endpoint_group> group_;
    home_pool& pool_;
    service_homes homes_{.own_ = true};
};

} // namespace tanagerspan

#endif
