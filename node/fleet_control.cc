#include "node/fleet_control.h"

#include <algorithm>
#include <set>
#include <sstream>
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
// settings must take effect within three seconds, and a leaving primary is to
// be replaced within its drain period. A new primary is announced by another
// table, which is watched without a delay.
constexpr std::int64_t settings_delay_ms = 100;
constexpr std::int64_t max_settings_delay_ms = 800;
constexpr std::int64_t entry_delay_ms = 500;

// After a lost watch, the next call is answered within this time by a store
// that is a hundred times slower than usual.
constexpr std::int64_t recovery_ms = 500;

/// The interval at which a feed that may lose a watch still reads a change
/// within `bound_ms`.
constexpr std::int64_t answer_interval(std::int64_t bound_ms)
{
    constexpr std::int64_t shortest_ms = 200;
    return std::max(shortest_ms,
                    bound_ms - table_store::answer_margin_ms - recovery_ms);
}

} // namespace

fleet_control::fleet_control(boost::asio::io_context& loop, table_store& store,
                             promotion_service& promotions, options opts,
                             outputs handlers)
    : timed_store_(store),
      store_(loop, timed_store_, opts.own_, handlers.watch_at_relay_),
      options_(std::move(opts)), outputs_(std::move(handlers)),
      allowances_(loop, store_,
                  {.own_ = options_.own_, .table_ = allowances_table},
                  [this](const allowance_lease_state& lease)
                  {
                      outputs_.allowance_lease_(lease);
                  }),
      settings_(
          loop, store_,
          {.table_ = options_.format_.settings_table_,
           .answer_interval_ms_ = answer_interval(options_.settings_bound_ms_),
           .initial_delay_ms_ = settings_delay_ms,
           .max_delay_ms_ = max_settings_delay_ms,
           .seed_ = options_.seed_,
           .complete_ = settings_complete_handler()},
          [this](const rows& current)
          {
              on_settings(current);
          }),
      endpoints_(loop, store_,
                 {.table_ = options_.format_.endpoints_table_,
                  .answer_interval_ms_ = answer_interval(options_.drain_ms_),
                  .initial_delay_ms_ = entry_delay_ms,
                  .max_delay_ms_ = max_entry_delay_ms,
                  .seed_ = options_.seed_},
                 [this](const rows& current)
                 {
                     on_endpoints(current);
                 }),
      hosts_(loop, store_, {.table_ = hosts_table, .own_ = options_.own_},
             [this](const std::vector<fleet_host>& live)
             {
                 on_hosts(live);
             }),
      takeover_rows_(
          loop, store_,
          {.table_ = promotions_table,
           .answer_interval_ms_ = answer_interval(options_.takeover_bound_ms_),
           .seed_ = options_.seed_},
          [this](const rows& current)
          {
              on_takeover_rows(current);
          }),
      takeovers_(
          loop, store_, promotions,
          {.host_name_ = options_.own_.name_,
           .table_ = promotions_table,
           .members_table_ = members_table,
           .codec_ = options_.codec_,
           .restore_hold_ms_ = options_.settings_bound_ms_},
          [this](const std::string& service, const std::string& primary,
                 std::int64_t version)
          {
              outputs_.promoted_(service, primary, version);
          },
          [this](const std::string& service, const pending_promotion& order)
          {
              outputs_.promotion_pending_(service, order);
          }),
      expiry_timer_(loop), planner_(options_.own_)
{
    takeovers_.list_endpoints_ = [this](std::function<void()> done)
    {
        endpoints_.refresh(std::move(done));
    };
    takeovers_.request_mark_ = outputs_.mark_wanted_;
}

std::function<void(instant)> fleet_control::settings_complete_handler()
{
    if (!options_.confirms_settings_)
        return nullptr;
    return [this](instant at)
    {
        // Settings that cannot be parsed are not in force, so those in force
        // are not current.
        if (routes_ && !settings_invalid_)
            outputs_.settings_confirmed_(at);
    };
}

void fleet_control::start()
{
    store_.set_restore_handler(
        [this]
        {
            on_restored();
        });
    settings_.start();
    endpoints_.start();
    hosts_.start();
    takeover_rows_.start();
}

void fleet_control::on_restored()
{
    restored_at_ = monotonic_now();
    // A watch with a position of the earlier era may stay unanswered.
    for (table_feed* feed : {&settings_, &endpoints_, &takeover_rows_})
        feed->refresh();
    hosts_.on_restored();
}

void fleet_control::on_health(const std::string& service,
                              const primary_health& health)
{
    takeovers_.on_health(service, health);
}

void fleet_control::read_takeover_rows(std::function<void(instant)> done)
{
    takeover_rows_.refresh(
        [done = std::move(done), asked = monotonic_now()]
        {
            done(asked);
        });
}

std::string fleet_control::metrics() const
{
    std::ostringstream out;
    instant now = monotonic_now();
    for (const table_feed* feed : {&settings_, &endpoints_, &takeover_rows_})
    {
        std::string label = "{table=\"" + feed->table() + "\"} ";
        instant answered = feed->answered_at();
        if (answered != never)
            out << "tanager_store_answer_age_ms" << label << now - answered
                << '\n';
        out << "tanager_store_table_version" << label
            << number_of(feed->version()) << '\n'
            << "tanager_store_table_era" << label << era_of(feed->version())
            << '\n';
    }
    return out.str() + store_.metrics();
}

void fleet_control::answer_relayed(const relay_request& request,
                                   std::function<void(const relay_reply&)> done)
{
    store_.answer(request, std::move(done));
}

void fleet_control::leave(std::function<void()> done)
{
    allowances_.release_all();
    hosts_.leave(std::move(done));
}

void fleet_control::on_settings(const rows& current)
{
    auto row = current.find(options_.format_.settings_key_);
    if (row == current.end())
        return;
    auto table = options_.format_.parse_routes_(row->second.value_);
    settings_invalid_ = !table;
    if (!table)
    {
        log_line(log_level::error, "settings_invalid",
                 {{"detail", table.error().detail_}});
        return;
    }
    if (routes_ && table->version_ <= routes_->version_)
    {
        log_line(log_level::info, "settings_ignored",
                 {{"version", table->version_},
                  {"version_in_force", routes_->version_}});
        return;
    }
    if (!table->accounts_with_shared_keys_.empty())
        log_line(log_level::warning, "settings_key_of_two_accounts",
                 {{"version", table->version_},
                  {"accounts", table->accounts_with_shared_keys_}});
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
    std::set<std::string> usable;
    for (const auto& [id, row] : current)
    {
        if (!update_entry(id, row))
            continue;
        usable.insert(id);
        missing_until_.erase(id);
    }
    std::erase_if(rejected_versions_,
                  [&current](const auto& one)
                  {
                      return !current.contains(one.first);
                  });
    for (const auto& [id, entry] : entries_)
    {
        if (!usable.contains(id))
            missing_until_.try_emplace(id, end_of_missing(now));
    }
    publish_endpoints();
}

bool fleet_control::update_entry(const std::string& id, const table_row& row)
{
    // Skips rows that have not changed: there are many rows, and few of them
    // change at a time.
    auto existing = entries_.find(id);
    if (existing != entries_.end() &&
        existing->second.row_version_ == row.version_)
        return true;
    auto rejected = rejected_versions_.find(id);
    if (rejected != rejected_versions_.end() &&
        rejected->second == row.version_)
        return false;
    auto entry = options_.format_.parse_endpoint_(id, row.value_, row.version_);
    if (!entry)
    {
        // The row may hide an endpoint that this host does not know and that
        // writes its entry again. A takeover without its log could lose
        // changes. A row that stays odd delays claims only once.
        bool may_hide_endpoint =
            existing == entries_.end() && rejected == rejected_versions_.end();
        if (may_hide_endpoint)
            takeovers_.hold_claims(monotonic_now() +
                                   options_.keep_missing_entry_ms_);
        rejected_versions_[id] = row.version_;
        log_line(log_level::info, "endpoint_entry_invalid",
                 {{"endpoint", id}, {"detail", entry.error().detail_}});
        return false;
    }
    if (has_left(*entry))
    {
        rejected_versions_[id] = row.version_;
        log_line(log_level::info, "endpoint_entry_ignored",
                 {{"endpoint", id}, {"reason", "the endpoint has left"}});
        return false;
    }
    rejected_versions_.erase(id);
    // A leave is final until the endpoint restarts. An entry without it is one
    // that a restore of the store brought back.
    bool leave_is_known = existing != entries_.end() &&
                          existing->second.leaving_ &&
                          existing->second.started_ms_ == entry->started_ms_;
    if (leave_is_known)
    {
        entry->leaving_ = true;
        entry->use_until_ = existing->second.use_until_;
    }
    else if (entry->leaving_)
    {
        entry->use_until_ = end_of_use(endpoints_.changed_since());
        log_leave(*entry);
    }
    entries_[id] = std::move(*entry);
    return true;
}

instant fleet_control::end_of_use(instant since) const
{
    return since + (options_.drain_ms_ - options_.delivery_ms_);
}

instant fleet_control::store_back_since() const
{
    instant since = monotonic_now();
    for (const table_feed* feed : {&settings_, &endpoints_, &takeover_rows_})
    {
        if (feed->connected())
            since = std::min(since, feed->connected_since());
    }
    return std::max(since, restored_at_);
}

instant fleet_control::end_of_missing(instant now) const
{
    // The entry was removed long ago if the answer that lacks it is late. Only
    // a store that was away removes entries of endpoints that live.
    instant rewritten = store_back_since() + options_.keep_missing_entry_ms_;
    return std::min(
        now + options_.keep_missing_entry_ms_,
        std::max(rewritten, end_of_use(endpoints_.changed_since())));
}

void fleet_control::log_leave(const endpoint_entry& entry) const
{
    constexpr std::int64_t unknown = -1;
    instant now = monotonic_now();
    instant since = endpoints_.changed_since();
    log_line(log_level::info, "endpoint_leaving",
             {{"service", entry.service_},
              {"endpoint", entry.id_},
              {"row_version", number_of(entry.row_version_)},
              {"counted_since_ms_ago", since == never ? unknown : now - since},
              {"use_ends_in_ms",
               std::max<std::int64_t>(0, entry.use_until_ - now)}});
}

bool fleet_control::has_left(const endpoint_entry& entry) const
{
    auto left = left_.find(entry.id_);
    return left != left_.end() && left->second.started_ms_ == entry.started_ms_;
}

void fleet_control::remove_expired_entries(instant now)
{
    for (auto missing = missing_until_.begin();
         missing != missing_until_.end();)
    {
        auto entry = entries_.find(missing->first);
        if (now < missing->second && entry != entries_.end())
        {
            ++missing;
            continue;
        }
        if (entry != entries_.end())
        {
            if (entry->second.leaving_)
                left_[entry->first] = {entry->second.started_ms_, now};
            entries_.erase(entry);
        }
        missing = missing_until_.erase(missing);
    }
    std::erase_if(left_,
                  [&](const auto& one)
                  {
                      return now - one.second.removed_at_ >
                             options_.remember_left_ms_;
                  });
}

void fleet_control::publish_endpoints()
{
    // A plan made before settings, endpoints and hosts are all known would
    // make this host the only home of every service, and it would open more
    // connections than its share.
    bool complete = routes_ && endpoints_listed_ && !live_hosts_.empty();
    if (!complete)
        return;
    instant now = monotonic_now();
    auto list = std::make_shared<endpoint_list>();
    remove_expired_entries(now);
    for (const auto& [id, entry] : entries_)
        list->push_back(entry);
    auto plan = make_home_plan();
    takeovers_.set_endpoints(*list);
    takeovers_.set_claim_order(plan, live_hosts_);
    outputs_.endpoints_(std::move(list), std::move(plan));
    if (!missing_until_.empty())
        schedule_expiry();
}

void fleet_control::schedule_expiry()
{
    auto first = std::min_element(missing_until_.begin(), missing_until_.end(),
                                  [](const auto& left, const auto& right)
                                  {
                                      return left.second < right.second;
                                  });
    std::int64_t wait_ms =
        std::max<std::int64_t>(0, first->second - monotonic_now());
    expiry_timer_.expires_after(std::chrono::milliseconds(wait_ms));
    expiry_timer_.async_wait(
        [this](io_error cancelled)
        {
            if (!cancelled)
                publish_endpoints();
        });
}

home_plan_ptr fleet_control::make_home_plan()
{
    std::map<std::string, service_capacity> services;
    if (routes_)
    {
        for (const auto& [name, limits] : routes_->services_)
            services[name] = {.connections_ = limits.max_connections_,
                              .shared_by_accounts_ = routes_->uses_accounts_};
    }
    for (const auto& [id, entry] : entries_)
        services[entry.service_].slots_ += entry.slots_;
    return planner_.update(live_hosts_, services);
}

void fleet_control::on_hosts(const std::vector<fleet_host>& live)
{
    live_hosts_ = live;
    if (options_.holds_allowances_)
        outputs_.hosts_(live);
    store_.set_hosts(live);
    publish_endpoints();
}

void fleet_control::on_takeover_rows(const rows& current)
{
    takeovers_.on_rows(current, era_of(takeover_rows_.version()));
}

} // namespace tanagerspan
