#include "node/fleet_control.h"

#include <algorithm>
#include <utility>

#include "transport/json_log.h"
#include "transport/monotonic_clock.h"

namespace tanagerspan
{
namespace
{

// Changes come in bursts: settings may change many times in a row, and
// endpoints start or expire together. A delay before the next watch batches
// several changes into one call. The delays are bounded by two deadlines:
// settings must take effect within three seconds, and a leaving endpoint
// serves for at least seven seconds, of which `leaving_ms_` in endpoint_group
// leaves room for the longest delay. A new primary is announced by another
// table, which is watched without a delay.
constexpr std::int64_t settings_gap_ms = 100;
constexpr std::int64_t longest_settings_gap_ms = 800;
constexpr std::int64_t entries_gap_ms = 500;

table_feed::options feed_of(const std::string& table, std::uint64_t seed,
                            std::int64_t gap_ms, std::int64_t longest_gap_ms)
{
    return {.table_ = table,
            .gap_ms_ = gap_ms,
            .longest_gap_ms_ = longest_gap_ms,
            .seed_ = seed};
}

} // namespace

fleet_control::fleet_control(boost::asio::io_context& loop, table_store& store,
                             promotion_gate& gate, options opts, outputs to)
    : options_(std::move(opts)), outputs_(std::move(to)),
      settings_(loop, store,
                feed_of(options_.format_.settings_table_, options_.seed_,
                        settings_gap_ms, longest_settings_gap_ms),
                [this](const rows& current)
                {
                    on_settings(current);
                }),
      endpoints_(loop, store,
                 feed_of(options_.format_.endpoints_table_, options_.seed_,
                         entries_gap_ms, longest_entries_gap_ms),
                 [this](const rows& current)
                 {
                     on_endpoints(current);
                 }),
      hosts_(loop, store, {.table_ = hosts_table, .own_ = options_.own_},
             [this](const std::vector<fleet_host>& live)
             {
                 on_hosts(live);
             }),
      promotions_(loop, store, feed_of(promotions_table, options_.seed_, 0, 0),
                  [this](const rows& current)
                  {
                      on_promotions(current);
                  }),
      takeovers_(loop, store, gate,
                 {.host_name_ = options_.own_.name_,
                  .table_ = promotions_table,
                  .codec_ = options_.codec_},
                 [this](const std::string& service, const std::string& leader,
                        std::int64_t version)
                 {
                     outputs_.promoted_(service, leader, version);
                 }),
      expiry_timer_(loop), planner_(options_.own_)
{
}

void fleet_control::start()
{
    settings_.start();
    endpoints_.start();
    hosts_.start();
    promotions_.start();
}

void fleet_control::on_health(const std::string& service,
                              const primary_health& health)
{
    takeovers_.on_health(service, health);
}

void fleet_control::leave(std::function<void()> done)
{
    hosts_.leave(std::move(done));
}

void fleet_control::on_settings(const rows& current)
{
    auto row = current.find(options_.format_.settings_key_);
    if (row == current.end())
        return;
    auto table = options_.format_.routes_(row->second.value_);
    if (!table)
    {
        log_line(log_level::error, "settings_unusable",
                 {{"detail", table.error().detail_}});
        return;
    }
    if (routes_ && table->version_ <= routes_->version_)
        return;
    bool first = !routes_;
    routes_ = std::make_shared<const route_table>(std::move(*table));
    outputs_.routes_(routes_);
    // The home plan depends on the services' limits, which rarely change.
    // Limits of later versions take effect in the plan with the next change
    // of endpoints or hosts.
    if (first)
        publish_endpoints();
}

void fleet_control::on_endpoints(const rows& current)
{
    endpoints_listed_ = true;
    instant now = monotonic_now();
    for (const auto& [id, row] : current)
    {
        if (!take_entry(id, row))
            continue;
        missing_since_.erase(id);
    }
    std::erase_if(unusable_,
                  [&current](const auto& one)
                  {
                      return !current.contains(one.first);
                  });
    for (const auto& [id, entry] : known_)
    {
        if (!current.contains(id))
            missing_since_.try_emplace(id, now);
    }
    publish_endpoints();
}

bool fleet_control::take_entry(const std::string& id, const table_row& row)
{
    // Skips rows that have not changed: there are many rows, and few of them
    // change at a time.
    auto known = known_.find(id);
    if (known != known_.end() && known->second.row_version_ == row.version_)
        return true;
    auto unusable = unusable_.find(id);
    if (unusable != unusable_.end() && unusable->second == row.version_)
        return false;
    auto entry = options_.format_.endpoint_(id, row.value_, row.version_);
    if (!entry)
    {
        unusable_[id] = row.version_;
        log_line(log_level::info, "endpoint_entry_unusable",
                 {{"endpoint", id}, {"detail", entry.error().detail_}});
        return false;
    }
    unusable_.erase(id);
    known_[id] = std::move(*entry);
    return true;
}

void fleet_control::publish_endpoints()
{
    // A plan made before settings, endpoints and hosts are all known would
    // make this host the only home of every service, and it would open more
    // connections than its share.
    bool known = routes_ && endpoints_listed_ && !live_.empty();
    if (!known)
        return;
    instant now = monotonic_now();
    auto list = std::make_shared<endpoint_list>();
    std::erase_if(known_,
                  [&](const auto& known)
                  {
                      auto since = missing_since_.find(known.first);
                      bool gone =
                          since != missing_since_.end() &&
                          now - since->second >= options_.keep_missing_ms_;
                      if (gone)
                          missing_since_.erase(since);
                      return gone;
                  });
    for (const auto& [id, entry] : known_)
        list->push_back(entry);
    auto plan = make_plan();
    takeovers_.set_endpoints(*list);
    takeovers_.set_claims(plan, live_);
    outputs_.endpoints_(std::move(list), std::move(plan));
    if (!missing_since_.empty())
        schedule_expiry();
}

void fleet_control::schedule_expiry()
{
    expiry_timer_.expires_after(
        std::chrono::milliseconds(options_.keep_missing_ms_));
    expiry_timer_.async_wait(
        [this](io_error cancelled)
        {
            if (!cancelled)
                publish_endpoints();
        });
}

home_plan_ptr fleet_control::make_plan()
{
    std::map<std::string, service_capacity> services;
    if (routes_)
    {
        for (const auto& [name, limits] : routes_->services_)
            services[name].connections_ = limits.max_connections_;
    }
    for (const auto& [id, entry] : known_)
        services[entry.service_].slots_ += entry.slots_;
    return planner_.update(live_, services);
}

void fleet_control::on_hosts(const std::vector<fleet_host>& live)
{
    live_ = live;
    publish_endpoints();
}

void fleet_control::on_promotions(const rows& current)
{
    for (const auto& [service, row] : current)
        takeovers_.on_row(service, row);
}

} // namespace tanagerspan
