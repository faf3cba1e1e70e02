#include "node/service_gateway.h"

#include <algorithm>
#include <utility>

#include "node/local_run.h"
#include "node/remote_run.h"

namespace tanagerspan
{

namespace
{

// Accounts come and go with the settings. Their orders are computed again when
// needed, so all are dropped when there are this many.
constexpr std::size_t max_account_orders = 1000;

} // namespace

service_gateway::service_gateway(fleet_host own, std::string service,
                                 std::shared_ptr<endpoint_group> group,
                                 home_pool& homes)
    : own_(std::move(own)), service_(std::move(service)),
      group_(std::move(group)), pool_(homes)
{
}

void service_gateway::set_homes(service_homes homes)
{
    homes_ = std::move(homes);
    account_homes_.clear();
}

std::span<const fleet_host>
service_gateway::homes_for(const std::string& account)
{
    if (account.empty())
        return homes_.forwarding_order_;
    auto known = account_homes_.find(account);
    if (known != account_homes_.end())
        return known->second;
    if (account_homes_.size() >= max_account_orders)
        account_homes_.clear();
    return account_homes_[account] = account_order(
               own_.data_centre_, service_, account, homes_.forwarding_order_);
}

std::shared_ptr<statement_run>
service_gateway::make_run(run_options run, statement_run::done_handler done)
{
    bool primary_elsewhere = homes_.forwarding_order_.size() > 1 &&
                             run.needs_primary() &&
                             group_->is_primary_unreachable();
    bool here = homes_.is_home_ && !primary_elsewhere;
    if (run.transaction_)
        here = run.transaction_->link_ != nullptr;
    if (here)
        return std::make_shared<local_run>(group_, std::move(run),
                                           std::move(done));
    return std::make_shared<remote_run>(shared_from_this(), std::move(run),
                                        std::move(done));
}

void service_gateway::roll_back(const pinned_transaction& open, instant now)
{
    if (open.link_)
        group_->roll_back(open.link_, now);
    else if (open.home_)
        open.home_->roll_back(open.number_);
}

std::shared_ptr<home_link>
service_gateway::pick_home(const std::string& account,
                           std::span<const std::string> excluded, instant now)
{
    for (const auto& home : homes_for(account))
    {
        bool tried = std::find(excluded.begin(), excluded.end(), home.name_) !=
                     excluded.end();
        if (tried || home.name_ == own_.name_)
            continue;
        auto link = pool_.link_to(home, now);
        if (link && link->is_usable())
            return link;
    }
    return nullptr;
}

void service_gateway::tick(instant now)
{
    group_->tick(now);
    bool served_here = homes_.is_home_ && !group_->is_primary_unreachable();
    if (served_here)
        return;
    std::size_t usable = 0;
    for (const auto& home : homes_.forwarding_order_)
    {
        if (home.name_ == own_.name_)
            continue;
        auto link = pool_.link_to(home, now);
        usable += link && (link->is_usable() || link->is_opening()) ? 1 : 0;
        if (usable >= warm_homes)
            return;
    }
}

} // namespace tanagerspan
