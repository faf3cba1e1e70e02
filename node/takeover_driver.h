#ifndef TANAGERSPAN_NODE_TAKEOVER_DRIVER_H
#define TANAGERSPAN_NODE_TAKEOVER_DRIVER_H

// Carries out takeovers: the claims in the store, the questions to endpoints
// and the orders to the platform. What to do is decided by takeover_trigger
// and takeover; this moves their events and actions.
//
// Control thread only.

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include <boost/asio/steady_timer.hpp>

#include "coordination/departed_endpoints.h"
#include "coordination/home_plan.h"
#include "coordination/takeover.h"
#include "coordination/takeover_trigger.h"
#include "node/endpoint_link.h"
#include "protocol/promotion_order.h"
#include "protocol/table_store.h"

namespace tanagerspan
{

class takeover_driver
{
public:
    struct options
    {
        std::string host_name_;
        std::string table_; ///< of the takeover rows
        const session_codec* codec_ = nullptr;
        takeover_trigger::options trigger_{};
        takeover::options attempt_{};
        std::int64_t tick_ms_ = 25; ///< while anything is suspicious
        /// A link on which a question stays unanswered this long is replaced.
        std::int64_t answer_ms_ = 500;
        /// A claim that is not confirmed by then is not used.
        std::int64_t claim_ms_ = 1000;
    };
    /// Service, who leads, the version of the row that says so.
    using leader_handler = std::function<void(
        const std::string&, const std::string&, std::int64_t)>;

    takeover_driver(boost::asio::io_context& loop, table_store& store,
                    promotion_gate& gate, options opts, leader_handler leads);
    ~takeover_driver();

    void set_endpoints(const endpoint_list& endpoints);
    /// Who claims first: the service's homes, which see most of it, then the
    /// other hosts.
    void set_claims(home_plan_ptr plan, const std::vector<fleet_host>& hosts);
    void on_health(const std::string& service, const primary_health& health);
    void on_row(const std::string& service, const table_row& row);

private:
    struct member_link
    {
        link_ptr link_;
        instant asked_ = never;
    };
    struct service_state
    {
        std::string name_;
        takeover_trigger trigger_;
        primary_health health_;
        std::vector<endpoint_entry> members_;
        departed_endpoints departed_{{}};
        takeover_row row_;
        std::int64_t row_version_ = 0;
        instant row_seen_ = never;
        std::optional<takeover_row> claim_; ///< ours, not confirmed yet
        instant claimed_at_ = never;
        takeover_reason reason_ = takeover_reason::silent;
        std::unique_ptr<takeover> attempt_;
        std::int64_t token_ = 0;
        std::map<std::string, member_link> links_;
    };

    service_state& state_of(const std::string& service);
    std::int64_t rank_of(const std::string& service) const;
    void arm();
    void tick();
    void claim(service_state& at, takeover_reason reason, instant now);
    void on_claimed(service_state& at, std::int64_t row_version);
    void write_row(service_state& at, const takeover_row& row,
                   std::function<void(bool)> done);
    void perform(service_state& at,
                 const std::vector<takeover_action>& actions);
    std::vector<takeover_member> members_of(const service_state& at) const;
    using recorded_handler =
        std::vector<takeover_action> (takeover::*)(bool recorded, instant now);
    /// Writes the row unless a later claim is known; tells the attempt by
    /// `then`.
    void record(service_state& at, const takeover_row& row,
                recorded_handler then);
    const endpoint_entry* entry_of(const service_state& at,
                                   const std::string& id) const;
    void ask(service_state& at, const std::string& id, const statement& what);
    void order(service_state& at, const std::string& id);
    void finish(service_state& at, const takeover_action& action);
    void replace_silent_links(service_state& at, instant now);

    boost::asio::io_context& loop_;
    table_store& store_;
    promotion_gate& gate_;
    options options_;
    leader_handler leads_;
    boost::asio::steady_timer timer_;
    bool armed_ = false;
    std::vector<std::string> hosts_;
    home_plan_ptr plan_;
    std::map<std::string, service_state> services_;
    std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
};

} // namespace tanagerspan

#endif
