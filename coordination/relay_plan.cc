#include "coordination/relay_plan.h"

#include <algorithm>
#include <map>
#include <utility>

#include "coordination/home_ranking.h"

namespace tanagerspan
{
namespace
{

/// The `count` highest ranked of `hosts` for `subject`.
std::vector<fleet_host> rank_hosts(const std::string& subject,
                                   std::span<const fleet_host> hosts,
                                   std::size_t count)
{
    std::vector<std::string> names;
    names.reserve(hosts.size());
    for (const auto& host : hosts)
        names.push_back(host.name_);
    std::vector<fleet_host> out;
    for (const auto& name : rank_homes(subject, names, count))
        out.push_back(*std::find_if(hosts.begin(), hosts.end(),
                                    [&name](const fleet_host& host)
                                    {
                                        return host.name_ == name;
                                    }));
    return out;
}

} // namespace

std::vector<fleet_host> relays_of(std::string_view data_centre,
                                  std::span<const fleet_host> live)
{
    std::map<std::string_view, std::size_t> sizes;
    std::vector<fleet_host> candidates;
    for (const auto& host : live)
    {
        ++sizes[host.data_centre_];
        if (host.data_centre_ == data_centre && !host.peers_address_.empty())
            candidates.push_back(host);
    }
    bool large = std::all_of(sizes.begin(), sizes.end(),
                             [](const auto& one)
                             {
                                 return one.second >= min_hosts_for_relays;
                             });
    if (!large)
        return {};
    return rank_hosts("relays of " + std::string(data_centre), candidates,
                      relays_per_data_centre);
}

void relay_choice::set_hosts(std::span<const fleet_host> live)
{
    auto relays = relays_of(options_.own_.data_centre_, live);
    is_relay_ = std::any_of(relays.begin(), relays.end(),
                            [this](const fleet_host& relay)
                            {
                                return relay.name_ == options_.own_.name_;
                            });
    if (is_relay_)
        relays.clear();
    // An order of its own for each host spreads the hosts over the relays.
    relays = rank_hosts("relay for " + options_.own_.name_, relays,
                        relays_per_data_centre);
    if (relays == relays_)
        return;
    relays_ = std::move(relays);
    current_ = 0;
}

const fleet_host* relay_choice::pick(instant now) const
{
    if (relays_.empty() || now - failed_at_ < options_.pause_ms_)
        return nullptr;
    return &relays_[current_];
}

bool relay_choice::may_ask(std::string_view name) const
{
    return std::any_of(relays_.begin(), relays_.end(),
                       [name](const fleet_host& relay)
                       {
                           return relay.name_ == name;
                       });
}

void relay_choice::on_failure(std::string_view name, instant now)
{
    failed_at_ = now;
    if (!relays_.empty() && relays_[current_].name_ == name)
        current_ = (current_ + 1) % relays_.size();
}

} // namespace tanagerspan
