#include "coordination/home_plan.h"

#include <algorithm>

#include "coordination/home_ranking.h"

namespace tanagerspan
{
namespace
{

// Connections of an endpoint that are not planned for homes. They serve
// takeovers, new homes, and homes whose predecessor's connections still exist.
constexpr std::int64_t reserved_connections = 3;

// With fewer connections to an endpoint a host can't have one for transactions,
// one for other statements and one that serves either.
constexpr std::int64_t min_connections_per_home = 3;

// Connections of a home to an endpoint where not all hosts can be homes. It
// keeps half of them open: after a loss of power the endpoint drops the old
// connections only after seconds, and as many must fit in beside them.
constexpr std::int64_t connections_per_home = 4;

// The same where connections belong to client accounts. A connection that is
// not in use then serves one account only, so a home needs more of them: for
// several accounts at a time and for transactions, in half of the number.
constexpr std::int64_t connections_per_account_home = 8;

std::int64_t shareable_connections(const service_capacity& capacity)
{
    return std::max<std::int64_t>(capacity.connections_ - reserved_connections,
                                  1);
}

/// The hosts, highest rank for `seed` first.
std::vector<const fleet_host*> rank_hosts(std::string_view seed,
                                          std::span<const fleet_host> hosts)
{
    std::vector<std::string> names;
    std::map<std::string_view, const fleet_host*> by_name;
    names.reserve(hosts.size());
    for (const auto& host : hosts)
    {
        names.push_back(host.name_);
        by_name.emplace(host.name_, &host);
    }
    std::vector<const fleet_host*> out;
    out.reserve(hosts.size());
    for (const auto& name : rank_homes(seed, names, names.size()))
        out.push_back(by_name.at(name));
    return out;
}

} // namespace

std::size_t home_count(const service_capacity& capacity, std::size_t hosts)
{
    if (capacity.connections_ <= 0)
        return hosts;
    std::int64_t shared = shareable_connections(capacity);
    auto count = static_cast<std::int64_t>(hosts);
    // With more homes than slots, even one statement from each home is more
    // than the endpoints can run at a time.
    std::int64_t per_home = capacity.shared_by_accounts_
                                ? connections_per_account_home
                                : connections_per_home;
    std::int64_t min_per_home =
        capacity.shared_by_accounts_ ? per_home : min_connections_per_home;
    bool all = count * min_per_home <= shared &&
               (capacity.slots_ <= 0 || count <= capacity.slots_);
    if (all)
        return hosts;
    std::int64_t limit = std::max<std::int64_t>(shared / per_home, 1);
    if (capacity.slots_ > 0)
        limit = std::min(limit, capacity.slots_);
    return static_cast<std::size_t>(std::min(count, limit));
}

std::vector<fleet_host> choose_homes(std::string_view service,
                                     std::span<const fleet_host> hosts,
                                     std::size_t count)
{
    std::map<std::string_view, std::vector<const fleet_host*>> ranked;
    std::vector<std::string_view> data_centres;
    for (const fleet_host* host : rank_hosts(service, hosts))
    {
        auto& in_data_centre = ranked[host->data_centre_];
        if (in_data_centre.empty())
            data_centres.push_back(host->data_centre_);
        in_data_centre.push_back(host);
    }
    // Takes one host of each data centre in turn.
    std::vector<fleet_host> out;
    count = std::min(count, hosts.size());
    for (std::size_t place = 0; out.size() < count; ++place)
    {
        for (const auto& data_centre : data_centres)
        {
            const auto& in_data_centre = ranked[data_centre];
            if (place < in_data_centre.size() && out.size() < count)
                out.push_back(*in_data_centre[place]);
        }
    }
    return out;
}

std::vector<fleet_host> forwarding_order(const fleet_host& own,
                                         std::string_view service,
                                         std::span<const fleet_host> homes)
{
    std::string seed = std::string(service) + "/" + own.name_;
    std::vector<fleet_host> out;
    for (const fleet_host* home : rank_hosts(seed, homes))
        out.push_back(*home);
    std::stable_partition(out.begin(), out.end(),
                          [&](const fleet_host& one)
                          {
                              return one.data_centre_ == own.data_centre_;
                          });
    return out;
}

std::vector<fleet_host> account_order(std::string_view own,
                                      std::string_view service,
                                      std::string_view account,
                                      std::span<const fleet_host> homes)
{
    // Without the service, an account with much traffic would have the same
    // home for all services that share their homes.
    std::string seed = std::string(service) + "/" + std::string(account);
    std::vector<fleet_host> out;
    out.reserve(homes.size());
    for (const fleet_host* home : rank_hosts(seed, homes))
        out.push_back(*home);
    std::stable_partition(out.begin(), out.end(),
                          [&](const fleet_host& one)
                          {
                              return one.data_centre_ == own;
                          });
    return out;
}

home_plan_ptr
home_planner::update(std::span<const fleet_host> hosts,
                     const std::map<std::string, service_capacity>& services)
{
    std::vector<fleet_host> live(hosts.begin(), hosts.end());
    if (std::find(live.begin(), live.end(), own_) == live.end())
        live.push_back(own_);
    bool same_hosts = plan_ && live == live_;
    if (same_hosts && services == services_)
        return plan_;
    live_ = std::move(live);
    auto next = std::make_shared<home_plan>();
    for (const auto& [name, capacity] : services)
    {
        auto known = services_.find(name);
        bool unchanged =
            same_hosts && known != services_.end() && known->second == capacity;
        if (unchanged)
        {
            next->emplace(name, plan_->at(name));
            continue;
        }
        next->emplace(name, plan(name, capacity));
        ++computed_plans_;
    }
    services_ = services;
    plan_ = std::move(next);
    return plan_;
}

service_homes home_planner::plan(const std::string& service,
                                 const service_capacity& capacity) const
{
    service_homes out;
    out.claim_order_ =
        choose_homes(service, live_, home_count(capacity, live_.size()));
    out.is_home_ = std::find(out.claim_order_.begin(), out.claim_order_.end(),
                             own_) != out.claim_order_.end();
    out.forwarding_order_ = forwarding_order(own_, service, out.claim_order_);
    if (capacity.connections_ <= 0)
        return out;
    auto homes = static_cast<std::int64_t>(out.claim_order_.size());
    out.connections_per_endpoint_ = static_cast<std::size_t>(
        std::max<std::int64_t>(shareable_connections(capacity) / homes, 1));
    return out;
}

} // namespace tanagerspan
