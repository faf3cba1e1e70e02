#include "node/traffic_server.h"

#include <algorithm>
#include <sstream>
#include <utility>

#include "transport/json_log.h"
#include "transport/monotonic_clock.h"

namespace tanagerspan
{
namespace
{

// Runs that other proxies sent before they read that this proxy is leaving
// arrive within this time.
constexpr std::int64_t peer_notice_ms = 500;

// Timeout for a command that another proxy passes on to an endpoint: shorter
// than the other proxy waits for the answer.
constexpr std::int64_t relayed_command_timeout_ms = 300;

// Shorter waits are not reported: less than half of the shortest silence that
// can start a takeover.
constexpr std::int64_t min_reported_wait_ms = 300;

// The interval at which the load of each service is logged: short enough to
// tell the seconds of a fault from those after it.
constexpr std::int64_t load_window_ms = 2000;

// A request for the takeover rows is repeated after this, many times the
// store's usual response time.
constexpr std::int64_t rows_retry_ms = 500;

} // namespace

traffic_server::traffic_server(boost::asio::io_context& loop, options opts)
    : loop_(loop), options_(std::move(opts)), acceptor_(loop), timer_(loop),
      homes_(loop), allowance_server_(
                        [this](std::size_t slice)
                        {
                            if (on_allowance_check_)
                                on_allowance_check_(slice);
                        },
                        options_.allowance_buckets_),
      allowance_client_(loop,
                        {.own_ = {options_.host_name_, options_.data_centre_,
                                  options_.peers_address_},
                         .balance_ = options_.allowances_.value_or(
                             allowance_balance::options{})},
                        homes_, allowance_server_),
      peers_(
          loop,
          {.codec_ = options_.codec_,
           .host_name_ = options_.host_name_,
           .timeout_ms_ = relayed_command_timeout_ms},
          [this](const std::string& service)
          {
              return group_of(service);
          },
          allowance_server_)
{
    environment_ = {
        .codec_ = options_.codec_,
        .counters_ = &counters_,
        .route_of_ =
            [this](const std::string& database) -> const database_route*
        {
            if (!routes_)
                return nullptr;
            auto at = routes_->by_database_.find(database);
            return at == routes_->by_database_.end() ? nullptr : &at->second;
        },
        .account_of_ =
            [this](const database_route& route, const std::string& key)
        {
            return find_account(*routes_, route, key);
        },
        .gateway_of_ =
            [this](const std::string& service)
        {
            return gateway_of(service);
        },
        .is_ready_ =
            [this]
        {
            return is_ready();
        },
        .transaction_idle_ms_ =
            [this]
        {
            return routes_ ? routes_->transaction_idle_ms_
                           : route_table{}.transaction_idle_ms_;
        },
        .keys_valid_until_ = [this]() -> std::optional<instant>
        {
            if (!options_.max_settings_age_ms_)
                return std::nullopt;
            return keys_valid_until();
        },
        .allowances_ = options_.allowances_ ? &allowance_client_ : nullptr};
}

traffic_server::~traffic_server() = default;

result<void> traffic_server::start()
{
    if (auto listening = listen_on(acceptor_, options_.callers_address_);
        !listening)
        return listening;
    accept_next();
    schedule_tick();
    return {};
}

void traffic_server::accept_next()
{
    acceptor_.async_accept(
        [this, alive = std::weak_ptr<bool>(alive_)](io_error error,
                                                    tcp_socket socket)
        {
            if (alive.expired() ||
                error == boost::asio::error::operation_aborted)
                return;
            if (!error)
            {
                auto session = std::make_shared<caller_session>(
                    std::move(socket), environment_);
                sessions_.push_back(session);
                session->start();
            }
            accept_next();
        });
}

void traffic_server::schedule_tick()
{
    timer_.expires_after(std::chrono::milliseconds(options_.tick_ms_));
    timer_.async_wait(
        [this, alive = std::weak_ptr<bool>(alive_)](io_error error)
        {
            if (error || alive.expired())
                return;
            tick();
            schedule_tick();
        });
}

void traffic_server::tick()
{
    instant now = monotonic_now();
    std::erase_if(sessions_,
                  [now](const std::shared_ptr<caller_session>& session)
                  {
                      return !session->tick(now);
                  });
    homes_.tick(now);
    if (options_.allowances_)
        allowance_client_.tick(now);
    for (auto& [name, gateway] : gateways_)
        gateway->tick(now);
    peers_.tick(now);
    renew_rows_request(now);
    report_health(now);
    report_load(now);
    if (on_drained_)
        tick_drain(now);
}

void traffic_server::tick_drain(instant now)
{
    bool ends_transactions =
        now - drain_since_ > drain_limits_.transactions_ms_;
    if (now - drain_since_ > options_.accept_after_drain_ms_)
    {
        io_error ignored;
        acceptor_.close(ignored);
        for (auto& session : sessions_)
        {
            if (ends_transactions)
                session->roll_back_idle_transaction();
            session->drain();
        }
        if (ends_transactions)
            peers_.roll_back_transactions();
    }
    std::erase_if(sessions_,
                  [](const std::shared_ptr<caller_session>& session)
                  {
                      return session->is_closed();
                  });
    bool notice_passed = now - drain_since_ > peer_notice_ms;
    bool in_time = now - drain_since_ < drain_limits_.sessions_ms_;
    if (!(notice_passed && is_idle()) && in_time)
        return;
    log_line(
        log_level::info, "drained",
        {{"sessions_left", sessions_.size()}, {"took_ms", now - drain_since_}});
    std::exchange(on_drained_, nullptr)();
}

drain_limits drain_limits_within(std::int64_t grace_ms)
{
    // The rest is left for the shutdown of the process.
    constexpr double sessions_share = 0.9;
    return {.sessions_ms_ = static_cast<std::int64_t>(
                static_cast<double>(grace_ms) * sessions_share),
            .transactions_ms_ = grace_ms / 2};
}

void traffic_server::drain(drain_limits limits, std::function<void()> done)
{
    drain_since_ = monotonic_now();
    drain_limits_ = limits;
    on_drained_ = std::move(done);
    peers_.announce_leaving();
}

bool traffic_server::is_idle() const
{
    return sessions_.empty() && !acceptor_.is_open() && peers_.is_idle();
}

std::shared_ptr<service_gateway>
traffic_server::gateway_of(const std::string& service)
{
    auto at = gateways_.find(service);
    return at == gateways_.end() ? nullptr : at->second;
}

std::shared_ptr<endpoint_group>
traffic_server::group_of(const std::string& service)
{
    auto gateway = gateway_of(service);
    return gateway ? gateway->group() : nullptr;
}

void traffic_server::set_routes(route_table_ptr routes)
{
    bool older = routes_ && routes->version_ <= routes_->version_;
    if (older)
        return;
    routes_ = std::move(routes);
    allowance_server_.set_routes(routes_);
    allowance_client_.set_routes(routes_);
    log_line(log_level::info, "routes_applied",
             {{"version", routes_->version_},
              {"routes", routes_->by_database_.size()},
              {"accounts", routes_->accounts_.size()}});
    apply_endpoints();
}

void traffic_server::set_settings_confirmed(instant at)
{
    settings_confirmed_at_ = std::max(settings_confirmed_at_, at);
}

void traffic_server::set_hosts(std::span<const fleet_host> live)
{
    allowance_client_.set_hosts(live);
}

void traffic_server::set_allowance_lease(const allowance_lease_state& lease)
{
    allowance_server_.set_lease(lease, monotonic_now());
}

void traffic_server::set_endpoints(endpoint_list_ptr endpoints,
                                   home_plan_ptr plan)
{
    endpoints_ = std::move(endpoints);
    plan_ = std::move(plan);
    apply_endpoints();
}

void traffic_server::apply_endpoints()
{
    if (!routes_ || !endpoints_)
        return;
    std::map<std::string, endpoint_list> by_service;
    for (const auto& [name, limits] : routes_->services_)
        by_service[name];
    for (const auto& entry : *endpoints_)
    {
        if (routes_->services_.contains(entry.service_))
            by_service[entry.service_].push_back(entry);
    }
    instant now = monotonic_now();
    for (const auto& [name, entries] : by_service)
    {
        auto& gateway = gateways_[name];
        if (!gateway)
        {
            auto group = std::make_shared<endpoint_group>(
                loop_,
                endpoint_group::options{.link_ = {.codec_ = options_.codec_,
                                                  .user_ = options_.host_name_},
                                        .data_centre_ = options_.data_centre_,
                                        .request_rows_ = rows_requester()});
            if (promotions_.contains(name))
                group->set_promotion(promotions_[name]);
            group->set_pending_promotion(pending_promotions_[name]);
            gateway = std::make_shared<service_gateway>(
                fleet_host{options_.host_name_, options_.data_centre_,
                           options_.peers_address_},
                name, group, homes_);
        }
        service_homes homes{.is_home_ = true};
        if (auto planned = plan_->find(name); planned != plan_->end())
            homes = planned->second;
        std::size_t share =
            homes.is_home_ ? homes.connections_per_endpoint_ : 0;
        gateway->group()->set_uses_accounts(routes_->uses_accounts_);
        gateway->set_homes(std::move(homes));
        gateway->group()->set_endpoints(entries, share, now);
    }
    serve_peers();
}

void traffic_server::serve_peers()
{
    // The port is opened only once routes and endpoints are known, because
    // other proxies treat a home that accepts connections as usable.
    if (options_.peers_address_.empty() || serves_peers_)
        return;
    serves_peers_ = true;
    if (auto listening = peers_.start(options_.peers_address_); !listening)
        log_line(log_level::error, "peer_listen_failed",
                 {{"address", options_.peers_address_},
                  {"detail", listening.error().detail_}});
    // Opens the sessions that waited for the routes.
    tick();
}

void traffic_server::set_promotion(const std::string& service,
                                   promotion_record record)
{
    promotions_[service] = record;
    if (auto group = group_of(service))
        group->set_promotion(std::move(record));
}

void traffic_server::set_pending_promotion(const std::string& service,
                                           pending_promotion order)
{
    pending_promotions_[service] = order;
    if (auto group = group_of(service))
        group->set_pending_promotion(std::move(order));
}

void traffic_server::watch_at_relay(const fleet_host& relay,
                                    const relay_request& request,
                                    home_link::relay_handler done)
{
    auto link = homes_.link_to(relay, monotonic_now());
    if (!link)
        return done(fail(error_code::not_sent, "no link to the relay"));
    link->watch_at_relay(request, std::move(done));
}

std::function<void()> traffic_server::rows_requester()
{
    if (!on_rows_needed_)
        return nullptr;
    return [this]
    {
        if (rows_requested_at_ == never)
            request_rows(monotonic_now());
    };
}

void traffic_server::request_rows(instant now)
{
    rows_requested_at_ = now;
    on_rows_needed_();
}

void traffic_server::renew_rows_request(instant now)
{
    bool pending =
        rows_requested_at_ != never && now - rows_requested_at_ < rows_retry_ms;
    if (pending)
        return;
    bool needed = std::any_of(gateways_.begin(), gateways_.end(),
                              [now](const auto& one)
                              {
                                  return one.second->group()->needs_rows(now);
                              });
    if (needed)
        request_rows(now);
    else
        rows_requested_at_ = never;
}

void traffic_server::on_rows_read(instant asked)
{
    rows_requested_at_ = never;
    for (auto& [name, gateway] : gateways_)
        gateway->group()->on_rows_read(asked);
}

void traffic_server::report_health(instant now)
{
    if (!on_health_)
        return;
    for (const auto& [name, gateway] : gateways_)
    {
        primary_health health = gateway->group()->health();
        // Short waits are normal and are not reported to the control side.
        for (instant* since :
             {&health.unanswered_since_, &health.write_unanswered_since_})
        {
            if (*since != never && now - *since < min_reported_wait_ms)
                *since = never;
        }
        bool quiet = health.unanswered_since_ == never &&
                     health.write_unanswered_since_ == never &&
                     !health.unreachable_;
        if (quiet && !has_wanted_mark(name, *gateway->group(), now))
        {
            health.last_answer_ = never;
            health.marks_.clear();
        }
        if (reported_health_[name].passes(health))
            on_health_(name, health);
    }
}

void traffic_server::report_mark(const std::string& service)
{
    marks_wanted_[service] = monotonic_now();
}

bool traffic_server::has_wanted_mark(const std::string& service,
                                     endpoint_group& group, instant now)
{
    auto wanted = marks_wanted_.find(service);
    if (wanted == marks_wanted_.end())
        return false;
    auto newest = group.marks().newest();
    if (newest && *newest >= wanted->second)
    {
        marks_wanted_.erase(wanted);
        return true;
    }
    group.on_mark_needed(now);
    return false;
}

void traffic_server::report_load(instant now)
{
    if (now - load_reported_at_ < load_window_ms)
        return;
    load_reported_at_ = now;
    for (const auto& [name, gateway] : gateways_)
    {
        for (const auto& [consistency, counts] :
             gateway->group()->load().end_window())
            log_line(log_level::info, "load",
                     {{"service", name},
                      {"consistency", consistency},
                      {"waiting", gateway->group()->waiting()},
                      {"counts", encode(counts)}});
    }
}

void traffic_server::write_load(std::ostream& out) const
{
    for (const auto& [service, gateway] : gateways_)
    {
        for (const auto& [consistency, counts] :
             gateway->group()->load().totals())
        {
            std::string labels = "{service=\"";
            labels.append(service).append("\",consistency=\"");
            labels.append(consistency).append("\"");
            auto write = [&](std::string_view name, std::int64_t value)
            {
                out << "tanager_" << name << "_total" << labels << "} " << value
                    << '\n';
            };
            write("in_time", counts.in_time_);
            write("late", counts.late_);
            write("granted", counts.granted_);
            write("waited_ms", counts.waited_ms_);
            write("replica_reads", counts.replica_reads_);
            write("primary_reads", counts.primary_reads_);
            for (const auto& [reason, count] : counts.refused_)
                out << "tanager_refused_waiting_total" << labels << ",reason=\""
                    << reason << "\"} " << count << '\n';
        }
    }
}

std::string traffic_server::metrics() const
{
    std::ostringstream out;
    out << "tanager_sessions_open " << sessions_.size() << '\n'
        << "tanager_sessions_total " << counters_.sessions_ << '\n'
        << "tanager_statements_total " << counters_.statements_ << '\n'
        << "tanager_answered_total " << counters_.answered_ << '\n'
        << "tanager_routes_version " << (routes_ ? routes_->version_ : 0)
        << '\n';
    for (const auto& [error, count] : counters_.refused_)
        out << "tanager_refused_total{error=\"" << error << "\"} " << count
            << '\n';
    if (options_.allowances_)
        out << "tanager_allowance_spent_total " << allowance_client_.spent()
            << '\n'
            << "tanager_allowance_refused_total " << allowance_client_.refused()
            << '\n'
            << "tanager_allowance_requests_total "
            << allowance_client_.requests() << '\n'
            << "tanager_allowance_granted_total " << allowance_server_.granted()
            << '\n';
    if (options_.max_settings_age_ms_ && settings_confirmed_at_ != never)
        out << "tanager_settings_age_ms "
            << monotonic_now() - settings_confirmed_at_ << '\n';
    out << "tanager_home_links " << homes_.open_links() << '\n'
        << "tanager_peer_runs_total " << peers_.runs() << '\n';
    for (const auto& [name, gateway] : gateways_)
        out << "tanager_waiting{service=\"" << name << "\"} "
            << gateway->group()->waiting() << '\n'
            << "tanager_exchanged_connections_total{service=\"" << name
            << "\"} " << gateway->group()->exchanged_links() << '\n';
    write_load(out);
    counters_.latencies_.write_prometheus(out, "tanager_statement_latency");
    return out.str();
}

} // namespace tanagerspan
