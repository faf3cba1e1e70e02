#ifndef TANAGERSPAN_NODE_TAKEOVER_DRIVER_H
#define TANAGERSPAN_NODE_TAKEOVER_DRIVER_H

// Carries out takeovers: writes claims to the store, sends statements to
// endpoints and sends promotion orders to the platform. `takeover_trigger`
// and `takeover` make the decisions; this class passes events to them and
// performs the actions that they return.
//
// A few hosts of each service, by their rank, keep the stored record of its
// endpoints up to date (coordination/member_record.h). A claim is conditional
// on the record's version. A host that has not read the record is refused once
// and then knows it.
//
// When the store came back from an older copy, rows are missing or earlier than
// those that this host knows. They are written back, and no claim is made
// meanwhile: hosts that know the latest row come first.
//
// Control thread only.

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <span>
#include <string>
#include <vector>

#include <boost/asio/steady_timer.hpp>

#include "coordination/departed_endpoints.h"
#include "coordination/home_plan.h"
#include "coordination/takeover.h"
#include "coordination/takeover_trigger.h"
#include "node/endpoint_commands.h"
#include "protocol/promotion_order.h"
#include "protocol/table_store.h"

namespace tanagerspan
{

/// Drives the takeovers of all services on one host.
class takeover_driver
{
public:
    struct options
    {
        std::string host_name_;
        std::string table_;         ///< name of the table of takeover rows
        std::string members_table_; ///< name of the table of member records
        const session_codec* codec_ = nullptr;
        takeover_trigger::options trigger_{};
        takeover::options attempt_{};
        /// Period of the timer while a service has a suspicion, a claim or an
        /// attempt; otherwise the timer is off.
        std::int64_t tick_period_ms_ = 25;
        /// Timeout for the confirmation of a claim; the claim is then dropped.
        std::int64_t claim_timeout_ms_ = 1000;
        /// Delay between the hosts' attempts to write a row back, in the order
        /// of their claims, and the longest one.
        std::int64_t write_back_step_ms_ = 100;
        std::int64_t max_write_back_delay_ms_ = 2000;
        /// No claims for this time after a restore of the store was seen, in
        /// which the other hosts see it, too: at the latest at the end of their
        /// watch of the settings.
        std::int64_t restore_hold_ms_ = 3000;
        /// Delay per rank before a host writes a record that differs from the
        /// endpoints that it knows. The first host also needs it at a start of
        /// the whole fleet, to learn of the other hosts.
        std::int64_t record_step_ms_ = 1000;
        /// Number of hosts, by rank, that write a service's record.
        std::int64_t recorders_ = 3;
        /// A mark that was not reported is requested again after this time.
        std::int64_t mark_retry_ms_ = 3000;
    };
    /// Arguments: the service, the id of its primary and the version of the
    /// takeover row that names this primary.
    using primary_handler = std::function<void(
        const std::string&, const std::string&, std::int64_t)>;

    /// Arguments: the service and the promotion order that may take effect.
    using pending_handler =
        std::function<void(const std::string&, const pending_promotion&)>;

    /// Lists the endpoints of all services, passes them to `set_endpoints` and
    /// then calls its argument. Unset: nothing is listed.
    std::function<void(std::function<void()>)> list_endpoints_;

    /// Asks the traffic side to report the health of a service's primary with
    /// a mark that is requested from now on. Unset: nothing is asked.
    std::function<void(const std::string&)> request_mark_;

    /// `primary_changed` is called for each newer takeover row that names a
    /// primary as the result of a finished takeover, `pending_changed` for each
    /// newer row.
    takeover_driver(boost::asio::io_context& loop, table_store& store,
                    promotion_service& promotions, options opts,
                    primary_handler primary_changed,
                    pending_handler pending_changed);
    ~takeover_driver();

    /// Replaces the endpoints of all services.
    void set_endpoints(const endpoint_list& endpoints);

    /// Sets the order in which hosts claim a service: its homes first, since
    /// they carry most of its traffic, then the other hosts.
    void set_claim_order(home_plan_ptr plan,
                         const std::vector<fleet_host>& hosts);

    /// Makes no claims before `until`.
    void hold_claims(instant until);

    /// Processes the state of a service's primary as this host observes it.
    void on_health(const std::string& service, const primary_health& health);

    /// Processes all takeover rows, by service, as read from the store in
    /// `era`.
    void on_rows(const std::map<std::string, table_row>& rows,
                 std::int64_t era);

private:
    struct service_state
    {
        std::string name_;
        takeover_trigger trigger_;
        primary_health health_;
        std::vector<endpoint_entry> members_;
        departed_endpoints departed_;
        /// Since when this host has known no working primary.
        instant without_primary_since_ = never;
        bool endpoints_known_ = false; ///< `members_` was set
        member_record record_;         ///< as stored, by the last answer
        std::int64_t record_version_ = 0;
        /// Since when the stored record differs; never: it does not.
        instant record_differs_since_ = never;
        bool writing_record_ = false;
        instant mark_requested_at_ = never;
        takeover_row row_;
        std::int64_t row_version_ = 0;
        instant row_received_at_ = never;
        /// When `row_` is to be written back; never: the store has it.
        instant write_back_at_ = never;
        std::optional<takeover_row> claim_; ///< of this host, unconfirmed
        instant claimed_at_ = never;
        takeover_reason claim_reason_ = takeover_reason::silent;
        std::unique_ptr<takeover> attempt_;
        std::unique_ptr<endpoint_commands> commands_; ///< of the attempt
        std::int64_t token_ = 0;
    };

    service_state& state_of(const std::string& service);
    std::int64_t rank_of(const std::string& service) const;
    /// The other hosts: first those that have connections to the endpoints.
    std::vector<fleet_host> relays_of(const std::string& service) const;
    void schedule_tick();
    void tick();
    void on_row(service_state& state, const table_row& row);
    /// Passes on what the current row says.
    void publish_row(const service_state& state);
    void on_row_outdated(service_state& state, std::int64_t stored_token);
    void write_back(service_state& state, instant now);
    void claim(service_state& state, takeover_reason reason, instant now);
    void start_attempt(service_state& state, std::int64_t row_version);
    enum class row_outcome
    {
        written,
        refused, ///< a precondition did not hold; the rows are known now
        unknown  ///< no answer; the row may be written later
    };
    using row_handler = std::function<void(row_outcome)>;
    void write_row(service_state& state, const takeover_row& row,
                   row_handler done);
    /// As `write_row`, if the stored member record is the known one as well.
    void write_claim(service_state& state, const takeover_row& row,
                     row_handler done);
    void write_row(service_state& state, const takeover_row& row,
                   std::vector<row_precondition> expected, row_handler done);
    /// Processes the current rows of refused preconditions.
    void on_current_rows(service_state& state,
                         std::span<const row_precondition> expected,
                         const table_snapshot& current);
    void on_record(service_state& state, const table_row& row);
    /// The store has no record, or perhaps another one than the known one.
    void forget_record(service_state& state);
    /// Compares the record with the endpoints and schedules what is due.
    static void update_primary_state(service_state& state, instant now);
    void check_record(service_state& state, instant now);
    void schedule_record_upkeep();
    void upkeep_records();
    void write_record(service_state& state, instant now);
    instant next_record_upkeep(const service_state& state) const;
    void perform(service_state& state,
                 const std::vector<takeover_action>& actions);
    /// Tells the attempt of endpoints that started again.
    static void add_former_starts(service_state& state);
    std::vector<takeover_member> members_of(const service_state& state) const;
    using recorded_handler =
        std::vector<takeover_action> (takeover::*)(bool recorded, instant now);
    /// Writes the row unless a later claim is known, and reports to the
    /// attempt by `handler` whether it was written.
    void record(service_state& state, const takeover_row& row,
                recorded_handler handler);
    const endpoint_entry* find_entry(const service_state& state,
                                     const std::string& id) const;
    void send_command(service_state& state, const std::string& id,
                      const statement& command);
    void on_command_answer(service_state& state, const command_answer& got);
    void list_members(service_state& state);
    void send_order(service_state& state, const std::string& id);
    void finish(service_state& state, const takeover_action& action);

    boost::asio::io_context& loop_;
    table_store& store_;
    promotion_service& promotions_;
    options options_;
    primary_handler primary_changed_;
    pending_handler pending_changed_;
    boost::asio::steady_timer timer_;
    bool tick_scheduled_ = false;
    boost::asio::steady_timer record_timer_;
    instant record_timer_at_ = never; ///< never: the timer is off
    static constexpr std::int64_t unknown_era = -1;
    std::int64_t era_ = unknown_era;
    instant hold_claims_until_ = never;
    std::vector<fleet_host> hosts_;
    home_pool relay_links_;
    home_plan_ptr home_plan_;
    std::map<std::string, service_state> services_;
    std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
};

} // namespace tanagerspan

#endif
