#ifndef TANAGERSPAN_NODE_TRAFFIC_FRONT_H
#define TANAGERSPAN_NODE_TRAFFIC_FRONT_H

// The traffic side of a proxy: accepts callers and, as a home of services,
// other proxies, holds sessions and the ways to services, and ticks them. It
// reads immutable route tables and endpoint lists that the control side hands
// in and decides nothing about the fleet.
//
// All functions on the loop's thread; the control side posts to it.

#include <functional>
#include <list>
#include <map>
#include <memory>
#include <string>

#include <boost/asio/steady_timer.hpp>

#include "coordination/home_plan.h"
#include "node/caller_session.h"
#include "node/peer_port.h"
#include "node/service_gateway.h"

namespace tanagerspan
{

class traffic_front
{
public:
    struct options
    {
        const session_codec* codec_ = nullptr;
        std::string host_name_;
        std::string data_centre_;
        std::string callers_address_;
        std::string peers_address_; ///< empty: no other proxy is served
        /// How often timeouts are looked at: a fraction of the shortest
        /// limit, and few enough wake-ups to cost nothing.
        std::int64_t tick_ms_ = 40;
        /// Callers still arrive for two probes after the first refusal.
        std::int64_t accept_after_drain_ms_ = 2500;
    };

    traffic_front(boost::asio::io_context& loop, options opts);
    ~traffic_front();

    /// Listens. Errors: unavailable, malformed.
    result<void> start();

    void set_routes(route_table_ptr routes);
    /// A service that is not in the plan has this proxy as its only home.
    void set_endpoints(endpoint_list_ptr endpoints, home_plan_ptr plan);
    void set_promotion(const std::string& service, promotion_record record);

    /// Ends idle sessions after a while and the rest as they become idle.
    /// `done` once none is left, or after `limit_ms`.
    void drain(std::int64_t limit_ms, std::function<void()> done);

    /// Routes, endpoints and homes are known.
    bool is_ready() const
    {
        return routes_ && endpoints_;
    }
    /// Called when what is known of a service's primary changes in a way that
    /// matters for a takeover.
    std::function<void(const std::string&, const primary_health&)> on_health_;
    std::string metrics() const;

private:
    void accept_next();
    void schedule_tick();
    void tick();
    void serve_peers();
    void tick_drain(instant now);
    void report_health(instant now);
    std::shared_ptr<service_gateway> gateway_of(const std::string& service);
    std::shared_ptr<endpoint_group> group_of(const std::string& service);
    void apply_endpoints();
    bool is_quiet() const;

    boost::asio::io_context& loop_;
    options options_;
    boost::asio::ip::tcp::acceptor acceptor_;
    boost::asio::steady_timer timer_;
    session_counters counters_;
    session_surroundings around_;
    std::list<std::shared_ptr<caller_session>> sessions_;
    home_pool homes_;
    std::map<std::string, std::shared_ptr<service_gateway>> gateways_;
    peer_port peers_;
    bool serves_peers_ = false;
    std::map<std::string, promotion_record> promotions_;
    std::map<std::string, primary_health> reported_;
    route_table_ptr routes_;
    endpoint_list_ptr endpoints_;
    home_plan_ptr plan_;
    instant drain_since_ = never;
    instant drain_until_ = never;
    std::function<void()> drained_;
    std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
};

} // namespace tanagerspan

#endif
