#ifndef TANAGERSPAN_NODE_TRAFFIC_SERVER_H
#define TANAGERSPAN_NODE_TRAFFIC_SERVER_H

// The traffic side of a proxy. It accepts callers and, as a home of services,
// other proxies; it owns the sessions and the gateways to the services, and
// runs their timers. The control side supplies immutable route tables,
// endpoint lists and home plans; this class makes no decisions about the
// fleet.
//
// Call all functions on the thread of the event loop. The control thread posts
// its calls to that loop.

#include <functional>
#include <iosfwd>
#include <list>
#include <map>
#include <memory>
#include <optional>
#include <span>
#include <string>

#include <boost/asio/steady_timer.hpp>

#include "coordination/home_plan.h"
#include "node/allowance_client.h"
#include "node/caller_session.h"
#include "node/peer_server.h"
#include "node/service_gateway.h"
#include "state/change_filter.h"

namespace tanagerspan
{

/// How long a drain waits for callers, from its start.
struct drain_limits
{
    std::int64_t sessions_ms_ = 0;     ///< until all sessions are closed
    std::int64_t transactions_ms_ = 0; ///< until idle ones are rolled back

    bool operator==(const drain_limits&) const = default;
};

/// The limits of a process that is killed after `grace_ms`.
drain_limits drain_limits_within(std::int64_t grace_ms);

class traffic_server
{
public:
    struct options
    {
        const session_codec* codec_ = nullptr;
        std::string host_name_;
        std::string data_centre_;
        std::string callers_address_;
        std::string peers_address_; ///< empty: other proxies are not served
        /// The interval at which timeouts are checked: a fraction of the
        /// shortest timeout, at a negligible cost in wake-ups.
        std::int64_t tick_ms_ = 40;
        /// How long callers are accepted after the drain began: the load
        /// balancer sends callers for two more probes after the first failed
        /// one.
        std::int64_t accept_after_drain_ms_ = 2500;
        /// If set, statements of keyed callers run only while the settings are
        /// known to be younger than this.
        std::optional<std::int64_t> max_settings_age_ms_{};
        /// If set, operations of client accounts need tokens.
        std::optional<allowance_balance::options> allowances_{};
        /// How this host grants tokens as the holder of an allowance slice.
        allowance_buckets::options allowance_buckets_{};
    };

    traffic_server(boost::asio::io_context& loop, options opts);
    ~traffic_server();

    /// Starts listening for callers. Errors: unavailable, malformed.
    result<void> start();

    void set_routes(route_table_ptr routes);
    /// The routes set last were current at this time.
    void set_settings_confirmed(instant at);
    void set_hosts(std::span<const fleet_host> live);
    void set_allowance_lease(const allowance_lease_state& lease);
    /// This proxy acts as a home of each service that is not in the plan.
    void set_endpoints(endpoint_list_ptr endpoints, home_plan_ptr plan);
    void set_promotion(const std::string& service, promotion_record record);
    /// See `endpoint_group::set_pending_promotion`.
    void set_pending_promotion(const std::string& service,
                               pending_promotion order);

    /// Closes each session once it is in no transaction, beginning after
    /// `accept_after_drain_ms_`. After `limits.transactions_ms_`, idle
    /// transactions are rolled back. `done` is called when no session and no
    /// peer's work is left, or after `limits.sessions_ms_`.
    void drain(drain_limits limits, std::function<void()> done);

    /// Whether routes, endpoints and homes are known.
    bool is_ready() const
    {
        return routes_ && endpoints_;
    }
    /// Whether this proxy can serve callers: it is ready and, if keyed callers
    /// need that, its settings are known to be current.
    bool can_serve(instant now) const
    {
        return is_ready() &&
               (!routes_->uses_accounts_ || !options_.max_settings_age_ms_ ||
                now < keys_valid_until());
    }
    /// Called with an allowance slice whose lease should be checked.
    std::function<void(std::size_t)> on_allowance_check_;
    /// Sends a watch to a relay. `done` is called once, here if the link to it
    /// cannot be used.
    void watch_at_relay(const fleet_host& relay, const relay_request& request,
                        home_link::relay_handler done);
    /// Answers the watches of hosts that use this one as a relay; see
    /// `peer_server::relay_service`. Set it before `start`.
    void set_relay_service(peer_server::relay_service service)
    {
        peers_.set_relay_service(std::move(service));
    }
    /// Called to have the takeover rows read; the answer is `on_rows_read`. Set
    /// it before the first endpoints.
    std::function<void()> on_rows_needed_;
    /// The takeover rows were read by a call that was sent at `asked`, and what
    /// they say was passed on.
    void on_rows_read(instant asked);
    /// Called with a service and the health of its primary when that health
    /// changes in a way that matters for a takeover.
    std::function<void(const std::string&, const primary_health&)> on_health_;
    /// Requests a mark of the service's primary and reports its health with
    /// that mark, once it arrived.
    void report_mark(const std::string& service);
    /// The metrics in the Prometheus text format.
    std::string metrics() const;

private:
    void accept_next();
    void schedule_tick();
    void tick();
    void serve_peers();
    void tick_drain(instant now);
    void report_health(instant now);
    std::function<void()> rows_requester();
    void request_rows(instant now);
    /// Requests the takeover rows again as long as a service waits for them.
    void renew_rows_request(instant now);
    /// Whether a mark arrived that is to be reported.
    bool has_wanted_mark(const std::string& service, endpoint_group& group,
                         instant now);
    void report_load(instant now);
    void write_load(std::ostream& out) const;
    /// Until when the settings are known to be young enough for keyed callers.
    instant keys_valid_until() const
    {
        return settings_confirmed_at_ + *options_.max_settings_age_ms_;
    }
    std::shared_ptr<service_gateway> gateway_of(const std::string& service);
    std::shared_ptr<endpoint_group> group_of(const std::string& service);
    void apply_endpoints();
    bool is_idle() const;

    boost::asio::io_context& loop_;
    options options_;
    boost::asio::ip::tcp::acceptor acceptor_;
    boost::asio::steady_timer timer_;
    session_counters counters_;
    session_environment environment_;
    std::list<std::shared_ptr<caller_session>> sessions_;
    home_pool homes_;
    allowance_server allowance_server_;
    allowance_client allowance_client_;
    std::map<std::string, std::shared_ptr<service_gateway>> gateways_;
    peer_server peers_;
    bool serves_peers_ = false;
    std::map<std::string, promotion_record> promotions_;
    std::map<std::string, pending_promotion> pending_promotions_;
    std::map<std::string, change_filter<primary_health>> reported_health_;
    /// Since when a report of a mark is requested, by service.
    std::map<std::string, instant> marks_wanted_;
    route_table_ptr routes_;
    instant settings_confirmed_at_ = never;
    endpoint_list_ptr endpoints_;
    home_plan_ptr plan_;
    instant rows_requested_at_ = never; ///< never: no request is pending
    instant load_reported_at_ = never;
    instant drain_since_ = never;
    drain_limits drain_limits_{};
    std::function<void()> on_drained_;
    std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
};

} // namespace tanagerspan

#endif
