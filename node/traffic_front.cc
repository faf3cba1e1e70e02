#include "node/traffic_front.h"

#include <algorithm>
#include <sstream>
#include <utility>

#include "transport/json_log.h"
#include "transport/monotonic_clock.h"

namespace tanagerspan
{
namespace
{

// Connections of an endpoint that no proxy counts on: for takeovers, and for a
// proxy that was just added or whose predecessor's connections linger.
constexpr std::size_t connection_reserve = 3;

// Below half of the shortest silence that a takeover looks at.
constexpr std::int64_t worth_reporting_ms = 300;

} // namespace

traffic_front::traffic_front(boost::asio::io_context& loop, options opts)
    : loop_(loop), options_(std::move(opts)), acceptor_(loop), timer_(loop)
{
    around_ = {.codec_ = options_.codec_,
               .counters_ = &counters_,
               .route_of_ =
                   [this](const std::string& database) -> const database_route*
               {
                   if (!routes_)
                       return nullptr;
                   auto at = routes_->by_database_.find(database);
                   return at == routes_->by_database_.end() ? nullptr
                                                            : &at->second;
               },
               .group_of_ =
                   [this](const std::string& service)
               {
                   return group_of(service);
               },
               .has_routes_ =
                   [this]
               {
                   return has_routes();
               },
               .transaction_idle_ms_ =
                   [this]
               {
                   return routes_ ? routes_->transaction_idle_ms_
                                  : route_table{}.transaction_idle_ms_;
               }};
}

traffic_front::~traffic_front() = default;

result<void> traffic_front::start()
{
    if (auto listens = listen_on(acceptor_, options_.callers_address_);
        !listens)
        return listens;
    accept_next();
    schedule_tick();
    return {};
}

void traffic_front::accept_next()
{
    acceptor_.async_accept(
        [this](io_error wrong, tcp_socket socket)
        {
            if (wrong == boost::asio::error::operation_aborted)
                return;
            if (!wrong)
            {
                auto session = std::make_shared<caller_session>(
                    std::move(socket), around_);
                sessions_.push_back(session);
                session->start();
            }
            accept_next();
        });
}

void traffic_front::schedule_tick()
{
    timer_.expires_after(std::chrono::milliseconds(options_.tick_ms_));
    timer_.async_wait(
        [this](io_error wrong)
        {
            if (wrong)
                return;
            tick();
            schedule_tick();
        });
}

void traffic_front::tick()
{
    instant now = monotonic_now();
    std::erase_if(sessions_,
                  [now](const std::shared_ptr<caller_session>& session)
                  {
                      return !session->tick(now);
                  });
    for (auto& [name, group] : groups_)
        group->tick(now);
    report_health(now);
    if (drained_)
        tick_drain(now);
}

void traffic_front::tick_drain(instant now)
{
    bool half = now - drain_since_ > (drain_until_ - drain_since_) / 2;
    if (now - drain_since_ > options_.accept_after_drain_ms_)
    {
        io_error ignored;
        acceptor_.close(ignored);
        for (auto& session : sessions_)
        {
            if (half)
                session->end_transaction();
            session->drain();
        }
    }
    std::erase_if(sessions_,
                  [](const std::shared_ptr<caller_session>& session)
                  {
                      return session->is_over();
                  });
    bool quiet = sessions_.empty() && !acceptor_.is_open();
    if (!quiet && now < drain_until_)
        return;
    log_line(
        log_level::info, "drained",
        {{"sessions_left", sessions_.size()}, {"took_ms", now - drain_since_}});
    std::exchange(drained_, nullptr)();
}

void traffic_front::drain(std::int64_t limit_ms, std::function<void()> done)
{
    drain_since_ = monotonic_now();
    drain_until_ = drain_since_ + limit_ms;
    drained_ = std::move(done);
}

std::shared_ptr<endpoint_group>
traffic_front::group_of(const std::string& service)
{
    auto at = groups_.find(service);
    return at == groups_.end() ? nullptr : at->second;
}

std::size_t traffic_front::share_of(const std::string& service) const
{
    auto at = routes_->services_.find(service);
    if (at == routes_->services_.end() || at->second.max_connections_ <= 0)
        return 1;
    auto most = static_cast<std::size_t>(at->second.max_connections_);
    std::size_t shared =
        most > connection_reserve ? most - connection_reserve : 1;
    return std::max<std::size_t>(shared / std::max<std::size_t>(proxies_, 1),
                                 1);
}

void traffic_front::set_routes(route_table_ptr routes)
{
    bool older = routes_ && routes->version_ <= routes_->version_;
    if (older)
        return;
    routes_ = std::move(routes);
    log_line(log_level::info, "routes_in_force",
             {{"version", routes_->version_},
              {"routes", routes_->by_database_.size()}});
    apply_endpoints();
}

void traffic_front::set_endpoints(endpoint_list_ptr endpoints,
                                  std::size_t proxies)
{
    endpoints_ = std::move(endpoints);
    proxies_ = proxies;
    apply_endpoints();
}

void traffic_front::apply_endpoints()
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
        auto& group = groups_[name];
        if (!group)
        {
            group = std::make_shared<endpoint_group>(
                loop_,
                endpoint_group::options{.link_ = {.codec_ = options_.codec_,
                                                  .user_ = options_.host_name_},
                                        .data_centre_ = options_.data_centre_});
            if (promotions_.contains(name))
                group->set_promotion(promotions_[name]);
        }
        group->set_endpoints(entries, share_of(name), now);
    }
}

void traffic_front::set_promotion(const std::string& service,
                                  promotion_record record)
{
    promotions_[service] = record;
    if (auto group = group_of(service))
        group->set_promotion(std::move(record));
}

void traffic_front::report_health(instant now)
{
    if (!on_health_)
        return;
    for (const auto& [name, group] : groups_)
    {
        primary_health health = group->health();
        // Short waits are the rule and not worth a word to the control side.
        for (instant* since :
             {&health.unanswered_since_, &health.write_unanswered_since_})
        {
            if (*since != never && now - *since < worth_reporting_ms)
                *since = never;
        }
        bool quiet = health.unanswered_since_ == never &&
                     health.write_unanswered_since_ == never &&
                     !health.unreachable_;
        if (quiet)
            health.last_answer_ = never;
        auto& reported = reported_[name];
        if (reported == health)
            continue;
        reported = health;
        on_health_(name, health);
    }
}

std::string traffic_front::metrics() const
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
    for (const auto& [name, group] : groups_)
        out << "tanager_waiting{service=\"" << name << "\"} "
            << group->waiting() << '\n';
    counters_.latencies_.write_prometheus(out, "tanager_statement_latency");
    return out.str();
}

} // namespace tanagerspan
