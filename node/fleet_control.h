#ifndef TANAGERSPAN_NODE_FLEET_CONTROL_H
#define TANAGERSPAN_NODE_FLEET_CONTROL_H

// The control side of a proxy: reads the shared state from the store and
// publishes it to the traffic side.
//
// Three tables are watched: the operators' settings, the endpoint entries and
// the takeover rows (`promotions_table`). The list of live hosts is polled.
// The published values are immutable: the route table, the endpoint list, the
// home plan and the promoted endpoints. In a large fleet the tables are watched
// at a relay (see `relayed_store`). Settings with a version lower than one
// already published are ignored, even if the store returns them.
//
// Control thread only, except `metrics`; the handlers in `outputs` are called
// on it.

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

#include <boost/asio/steady_timer.hpp>

#include "coordination/home_plan.h"
#include "node/allowance_leases.h"
#include "node/host_directory.h"
#include "node/relayed_store.h"
#include "node/table_feed.h"
#include "node/takeover_driver.h"
#include "node/timed_store.h"
#include "protocol/catalogue_format.h"
#include "protocol/table_store.h"
#include "state/service_catalogue.h"

namespace tanagerspan
{

/// Watches the store and runs the takeovers on one host.
class fleet_control
{
public:
    struct options
    {
        fleet_host own_;
        catalogue_format format_;
        /// An endpoint whose entry disappeared is kept this long after the
        /// store is back: entries expire while the store is unavailable and
        /// are written again within about two seconds. If the store was not
        /// away, the endpoint is dropped before its drain period ends.
        std::int64_t keep_missing_entry_ms_ = 2500;
        /// How long an endpoint that left is remembered. A copy from which the
        /// store comes back is some seconds old.
        std::int64_t remember_left_ms_ = 600'000;
        /// A confirmed change of the settings takes effect within this time,
        /// if the store answers.
        std::int64_t settings_bound_ms_ = 3000;
        /// An endpoint stays at least this long after the store confirmed its
        /// leave.
        std::int64_t drain_ms_ = 7000;
        /// Within this time a statement for which a connection was granted has
        /// reached its endpoint.
        std::int64_t delivery_ms_ = 500;
        /// A change of primary is over within this time. A host that lost a
        /// watch of the takeover rows takes part again by then.
        std::int64_t takeover_bound_ms_ = 20'000;
        const session_codec* codec_ = nullptr;
        std::uint64_t seed_ = 1; ///< for the jitter of retries
        /// Report when the settings are known to be current.
        bool confirms_settings_ = false;
        /// Hold leases of allowance slices.
        bool holds_allowances_ = false;
    };
    struct outputs
    {
        /// Receives each newer version of the settings.
        std::function<void(route_table_ptr)> routes_;
        /// Receives the endpoints and the home plan. First called when
        /// settings, endpoints and hosts have all been read.
        std::function<void(endpoint_list_ptr, home_plan_ptr)> endpoints_;
        /// Arguments: the service, the id of the promoted endpoint and the
        /// version of the takeover row.
        std::function<void(const std::string&, const std::string&,
                           std::int64_t)>
            promoted_;
        /// Arguments: the service and the promotion order that may take effect.
        takeover_driver::pending_handler promotion_pending_;
        /// Asks for the health of a service's primary with a mark that is
        /// requested from now on.
        std::function<void(const std::string&)> mark_wanted_{};
        /// Receives a time at which the settings published last were current.
        /// Only with `confirms_settings_`.
        std::function<void(instant)> settings_confirmed_{};
        /// Receives the live hosts and the leases of allowance slices. Only
        /// with `holds_allowances_`.
        std::function<void(const std::vector<fleet_host>&)> hosts_{};
        allowance_leases::change_handler allowance_lease_{};
        /// Sends a watch to a relay; without it, all watches go to the store.
        relay_sender watch_at_relay_;
    };

    fleet_control(boost::asio::io_context& loop, table_store& store,
                  promotion_service& promotions, options opts,
                  outputs handlers);

    /// Starts reading from the store.
    void start();

    /// Processes the state of a service's primary as this host observes it.
    void on_health(const std::string& service, const primary_health& health);

    /// Reads the takeover rows and passes on what they say. Then calls `done`
    /// with the time of the call; never if the store does not answer.
    void read_takeover_rows(std::function<void(instant)> done);

    /// Another host asked for tokens of an allowance slice that this host does
    /// not hold.
    void check_allowance_lease(std::size_t slice)
    {
        allowances_.check(slice);
    }

    /// Removes this host from the list of live hosts and gives up its leases of
    /// allowance slices. Calls `done` once the
    /// host is removed or the store call has failed.
    void leave(std::function<void()> done);

    /// Answers the watch of a host that uses this one as a relay.
    void answer_relayed(const relay_request& request,
                        std::function<void(const relay_reply&)> done);

    /// The age of the last answer for each watched table and the version up to
    /// which it was read, as text lines for the metrics page. Any thread.
    std::string metrics() const;

    /// Longest delay before a change of an endpoint entry is read.
    static constexpr std::int64_t max_entry_delay_ms = 2000;

    /// Names of the tables that the proxies write.
    static constexpr const char* hosts_table = "tanager-hosts";
    static constexpr const char* promotions_table = "tanager-promotions";
    static constexpr const char* members_table = "tanager-members";
    static constexpr const char* allowances_table = "tanager-allowances";

private:
    using rows = std::map<std::string, table_row>;

    void on_restored();
    void on_settings(const rows& current);
    void on_endpoints(const rows& current);
    void on_hosts(const std::vector<fleet_host>& live);
    home_plan_ptr make_home_plan();
    void on_takeover_rows(const rows& current);
    /// Updates the entry of endpoint `id` from its row. Returns false if the
    /// row cannot be parsed or is that of an endpoint that left.
    bool update_entry(const std::string& id, const table_row& row);
    /// When the use of an endpoint ends that left or was removed after
    /// `since`.
    instant end_of_use(instant since) const;
    /// When an entry is removed that is found missing at `now`.
    instant end_of_missing(instant now) const;
    /// Since when the store has answered this host's calls.
    instant store_back_since() const;
    void log_leave(const endpoint_entry& entry) const;
    /// Whether a restore of the store brought back the entry of an endpoint
    /// that left and was gone.
    bool has_left(const endpoint_entry& entry) const;
    void remove_expired_entries(instant now);
    void publish_endpoints();
    void schedule_expiry();

    timed_store timed_store_;
    relayed_store store_;
    options options_;
    outputs outputs_;
    std::function<void(instant)> settings_complete_handler();

    allowance_leases allowances_;
    table_feed settings_;
    table_feed endpoints_;
    host_directory hosts_;
    table_feed takeover_rows_;
    takeover_driver takeovers_;
    boost::asio::steady_timer expiry_timer_;
    std::map<std::string, endpoint_entry> entries_;
    /// When the entries that are missing from the table are removed.
    std::map<std::string, instant> missing_until_;
    instant restored_at_ = never;
    /// Versions of rows that are not used, by endpoint id.
    std::map<std::string, std::int64_t> rejected_versions_;
    struct left_endpoint
    {
        std::int64_t started_ms_ = 0;
        instant removed_at_ = never;
    };
    /// Endpoints whose entries were removed after their leave.
    std::map<std::string, left_endpoint> left_;
    std::vector<fleet_host> live_hosts_;
    home_planner planner_;
    bool endpoints_listed_ = false;
    /// The newest settings could not be parsed, so older ones are in force.
    bool settings_invalid_ = false;
    route_table_ptr routes_;
};

} // namespace tanagerspan

#endif
