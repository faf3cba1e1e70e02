#include "coordination/home_plan.h"

#include <algorithm>

#include "coordination/home_ranking.h"

namespace tanagerspan
{
namespace
{

// Connections of an endpoint that no home counts on: for takeovers, and for
// a home that was just added or whose predecessor's connections linger.
constexpr std::int64_t connection_reserve = 3;

// A host with fewer connections to an endpoint can't keep one for
// transactions, one for the rest and one to move between them.
constexpr std::int64_t least_share = 3;

// Where not all hosts can be homes, a home has this many. It keeps half of
// them, so that after a loss of power, whose connections an endpoint drops
// only after seconds, the same number can be opened anew.
constexpr std::int64_t home_share = 4;

std::int64_t shared_connections(const service_capacity& capacity)
{
    return std::max<std::int64_t>(capacity.connections_ - connection_reserve,
                                  1);
}

std::vector<std::string> names_of(std::span<const fleet_host> hosts)
{
    std::vector<std::string> out;
    for (const auto& host : hosts)
        out.push_back(host.name_);
    return out;
}

const fleet_host& host_named(std::span<const fleet_host> hosts,
                             const std::string& name)
{
    return *std::find_if(hosts.begin(), hosts.end(),
                         [&](const fleet_host& one)
                         {
                             return one.name_ == name;
                         });
}

} // namespace

std::size_t home_count(const service_capacity& capacity, std::size_t hosts)
{
    if (capacity.connections_ <= 0)
        return hosts;
    std::int64_t shared = shared_connections(capacity);
    auto count = static_cast<std::int64_t>(hosts);
    // More homes than slots would offer more at a time than is worked on,
    // whatever each of them holds back.
    bool all = count * least_share <= shared &&
               (capacity.slots_ <= 0 || count <= capacity.slots_);
    if (all)
        return hosts;
    std::int64_t most = std::max<std::int64_t>(shared / home_share, 1);
    if (capacity.slots_ > 0)
        most = std::min(most, capacity.slots_);
    return static_cast<std::size_t>(std::min(count, most));
}

std::vector<fleet_host> choose_homes(std::string_view service,
                                     std::span<const fleet_host> hosts,
                                     std::size_t count)
{
    std::map<std::string, std::vector<fleet_host>> ranked;
    std::vector<std::string> data_centres;
    for (const auto& name : rank_homes(service, names_of(hosts), hosts.size()))
    {
        const fleet_host& host = host_named(hosts, name);
        auto& in_one = ranked[host.data_centre_];
        if (in_one.empty())
            data_centres.push_back(host.data_centre_);
        in_one.push_back(host);
    }
    // One of each data centre in turn.
    std::vector<fleet_host> out;
    count = std::min(count, hosts.size());
    for (std::size_t place = 0; out.size() < count; ++place)
    {
        for (const auto& data_centre : data_centres)
        {
            const auto& in_one = ranked[data_centre];
            if (place < in_one.size() && out.size() < count)
                out.push_back(in_one[place]);
        }
    }
    return out;
}

std::vector<fleet_host> homes_for(const fleet_host& own,
                                  std::string_view service,
                                  std::span<const fleet_host> homes)
{
    std::string seed = std::string(service) + "/" + own.name_;
    std::vector<fleet_host> out;
    for (const auto& name : rank_homes(seed, names_of(homes), homes.size()))
        out.push_back(host_named(homes, name));
    std::stable_partition(out.begin(), out.end(),
                          [&](const fleet_host& one)
                          {
                              return one.data_centre_ == own.data_centre_;
                          });
    return out;
}

home_plan plan_homes(const fleet_host& own, std::span<const fleet_host> hosts,
                     const std::map<std::string, service_capacity>& services)
{
    std::vector<fleet_host> live(hosts.begin(), hosts.end());
    auto is_own = [&own](const fleet_host& one)
    {
        return one.name_ == own.name_;
    };
    if (std::none_of(live.begin(), live.end(), is_own))
        live.push_back(own);
    home_plan out;
    for (const auto& [name, capacity] : services)
    {
        service_homes& to = out[name];
        to.claims_ =
            choose_homes(name, live, home_count(capacity, live.size()));
        to.own_ = std::any_of(to.claims_.begin(), to.claims_.end(), is_own);
        to.route_ = homes_for(own, name, to.claims_);
        if (capacity.connections_ <= 0)
            continue;
        auto homes = static_cast<std::int64_t>(to.claims_.size());
        to.share_ = static_cast<std::size_t>(
            std::max<std::int64_t>(shared_connections(capacity) / homes, 1));
    }
    return out;
}

} // namespace tanagerspan
