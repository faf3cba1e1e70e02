#ifndef TANAGERSPAN_NODE_ENDPOINT_GROUP_H
#define TANAGERSPAN_NODE_ENDPOINT_GROUP_H

// The endpoints of one service as seen by one proxy: its connections to them,
// the requests that wait for a connection, and the freshness marks of the log.
//
// A request for a connection is granted as soon as a suitable one is idle;
// until then it waits, in the order of coordination/queue_order.h, and is
// refused if it cannot be served in time (coordination/admission_plan.h). This
// part is in endpoint_group_queue.cc.
//
// A connection has one owner at a time: the work to which it was granted, or
// the group. Work that stops before its answer arrived abandons the connection
// to the group, which grants it again only after the answer, or closes it.
//
// An endpoint counts as primary by a claim: its own entry in the store or the
// record of its promotion. The claim stored last takes precedence. After an
// endpoint reported that it is not primary, its claim is ignored for a while
// and other endpoints are tried even without a claim, because the store may be
// unavailable; an endpoint that is not primary refuses the work.
//
// After an interruption of the contact to the primary, statements that change
// data wait until the takeover rows were read again, and so do answers to
// commits that were on their way (coordination/primary_contact.h).
//
// While a promotion order may take effect, only the endpoint that it names gets
// work as primary. Freshness marks change nothing and are still asked for. A
// change that another endpoint acknowledges in this time may be discarded, so
// its outcome counts as unknown.
//
// Not thread safe: use on the traffic thread only.

#include <cstdint>
#include <functional>
#include <list>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <span>
#include <string>
#include <vector>

#include "coordination/admission_plan.h"
#include "coordination/concurrency_window.h"
#include "coordination/connection_exchange.h"
#include "coordination/endpoint_choice.h"
#include "coordination/freshness_marks.h"
#include "coordination/load_estimates.h"
#include "coordination/locality.h"
#include "coordination/primary_contact.h"
#include "coordination/queue_order.h"
#include "coordination/retry_budget.h"
#include "coordination/takeover_trigger.h"
#include "node/endpoint_link.h"
#include "state/load_counts.h"
#include "state/service_catalogue.h"

namespace tanagerspan
{

/// The connection that a statement needs.
struct link_request
{
    bool primary_ = false;
    std::optional<position_requirement> position_{};
    std::vector<std::string> excluded_{}; ///< endpoint ids
    queue_order order_{};
    instant deadline_{}; ///< the end of the statement's timeout
    std::string route_{};
    /// The client account of the statement. It is granted only a connection
    /// that was opened for this account.
    std::string account_{};
    /// Called instead of the grant handler if the statement cannot be served
    /// in time. Not set: the request waits until it is granted or cancelled.
    std::function<void(const refused_statement&)> refused_{};
    /// The statement takes no slot of the endpoint. It is the proxy's own, so
    /// it may use a connection of any account.
    bool takes_no_slot_ = false;
    /// The statement, or a later one of its transaction, may change data.
    bool may_write_ = false;
    /// If set, the idle connection whose values differ least is preferred.
    const session_state* session_ = nullptr;
};

/// A completed promotion.
struct promotion_record
{
    std::string endpoint_id_;
    std::int64_t row_version_ = 0;
};

class endpoint_group
{
public:
    struct options
    {
        endpoint_link::options link_;
        std::string data_centre_;
        /// Connections kept open to each endpoint, so that statements do not
        /// wait for the set-up: one for a transaction, one for other work.
        std::size_t warm_links_ = 2;
        /// How long an endpoint is avoided after a failure: about the time in
        /// which the other hosts detect a crash, too.
        std::int64_t failure_backoff_ms_ = 500;
        /// No connection is opened for this long after an endpoint refused
        /// one. Meanwhile other proxies close idle ones.
        std::int64_t full_backoff_ms_ = 300;
        /// Idle connections beyond half of the share are closed after this
        /// time. An endpoint detects only after seconds that a host lost
        /// power, and keeps the host's connections until then. With half of
        /// the connections unused, all hosts can connect again after a common
        /// power failure.
        std::int64_t max_idle_ms_ = 3000;
        /// The limit of connections to an endpoint that are being set up at
        /// the same time, because each of them takes a slot.
        std::size_t max_opening_links_ = 1;
        /// While reads need marks, the newest mark is renewed at this age.
        /// Several marks fit into the shortest staleness bound, so that there
        /// is an older one whose position the replicas have reached.
        std::int64_t mark_interval_ms_ = 250;
        /// Marks are renewed for this long after the last read that needed
        /// one.
        std::int64_t mark_demand_ms_ = 3000;
        /// The same where connections belong to accounts. Connections are then
        /// set up all the time, and one at a time would make accounts wait for
        /// each other; most slots stay free for statements.
        std::size_t max_opening_account_links_ = 3;
        exchange_limits exchange_{};
        /// The timeout for setting up a connection.
        std::int64_t open_timeout_ms_ = 1500;
        /// The primary counts as unreachable from this proxy after it left
        /// statements unanswered for this long: longer than any statement
        /// takes with an empty queue.
        std::int64_t primary_silence_ms_ = 400;
        /// The timeout for a rollback, after which the connection is closed.
        std::int64_t roll_back_timeout_ms_ = 1000;
        /// If set, `locality` chooses the endpoints of reads in place of
        /// `choose_for_read`.
        std::optional<locality::options> locality_{};
        /// Asks for `on_rows_read`. Not set: changes never wait for it.
        std::function<void()> request_rows_{};
    };

    /// Receives a connection, which it owns until it releases it.
    using grant_handler = std::function<void(link_ptr)>;
    using request_id = std::uint64_t;

    endpoint_group(boost::asio::io_context& loop, options opts);
    ~endpoint_group();

    /// `share` is the limit of this proxy's connections to one endpoint. The
    /// shares of all proxies together stay within the endpoint's limit, so
    /// that a new endpoint accepts connections of every proxy. 0: this proxy is
    /// no home of the service and opens a connection only for waiting work.
    void set_endpoints(const endpoint_list& endpoints, std::size_t share,
                       instant now);
    /// Whether statements belong to client accounts. No connection is then kept
    /// open without a statement for it, since it would be of no account.
    void set_uses_accounts(bool uses_accounts)
    {
        uses_accounts_ = uses_accounts;
    }
    void set_promotion(promotion_record record);
    /// While a promotion order may take effect, no other endpoint gets work as
    /// primary: the promotion would discard the changes that it confirms.
    void set_pending_promotion(pending_promotion order);

    /// Whether a promotion that may take effect would discard the changes that
    /// the link's endpoint acknowledges now.
    bool may_discard_changes(const endpoint_link& link, instant now) const;

    /// The takeover rows were read by a call that was sent at `asked`, and what
    /// they say was passed on.
    void on_rows_read(instant asked);
    /// Whether a takeover that began while the link's endpoint was silent would
    /// be known.
    bool is_confirmed(const endpoint_link& link) const;
    /// Calls `confirmed` once, after the rows were read.
    void await_rows(std::function<void()> confirmed)
    {
        awaiting_rows_.push_back(std::move(confirmed));
    }
    /// Whether changes wait for `on_rows_read`.
    bool needs_rows(instant now) const;

    /// Requests a link. `granted` is called later, never from within this
    /// function.
    request_id request_link(link_request request, grant_handler granted,
                            instant now);
    /// Cancels a request that has not been granted.
    void cancel_request(request_id id);

    /// Returns a link to the group. `usable`: no reply is pending and the
    /// state of the connection is known; otherwise the link is closed.
    void release(const link_ptr& link, bool usable, instant now);
    /// Returns a link on which replies are pending. The group closes it if
    /// they have not arrived by `close_at`.
    void abandon(const link_ptr& link, instant close_at);
    /// Returns a link after rolling back the transaction that is open on it.
    void roll_back(const link_ptr& link, instant now);

    /// A write or a commit was sent on `link`.
    void on_write_sent(const link_ptr& link, instant now);
    /// A statement of `route` that was sent at `sent_at` was answered.
    /// `from_queue`: it had waited for the connection.
    void on_answered(const link_ptr& link, const std::string& route,
                     bool from_queue, instant sent_at, instant now);
    /// The endpoint refused a statement because it is busy.
    void on_busy(const link_ptr& link);
    /// The endpoint lacked the position of a read. `behind_ms`: how long this
    /// proxy has known that position.
    void on_lagging(const link_ptr& link, std::int64_t behind_ms);
    void on_not_primary(const link_ptr& link, instant now);
    void on_failed(const link_ptr& link, instant now);

    /// Applies timeouts and maintains the connections. Call it every few tens
    /// of milliseconds.
    void tick(instant now);

    /// The budget for repeating unanswered reads, which bounds the added load.
    retry_budget& repeat_budget()
    {
        return repeat_budget_;
    }
    /// When a request was last granted, for the primary or for any endpoint.
    instant last_granted(bool primary) const
    {
        return primary ? last_primary_grant_ : last_read_grant_;
    }
    freshness_marks& marks()
    {
        return marks_;
    }
    /// A read needed a freshness mark; the group renews marks for a while.
    void on_mark_needed(instant now)
    {
        last_mark_demand_ = now;
    }
    /// The state of the endpoint with the latest claim to be primary, whether
    /// or not the endpoint has refuted the claim.
    primary_health health() const;
    /// The id of the endpoint that is used as primary; empty if there is none.
    std::string primary_id(instant now) const;
    /// Whether this proxy cannot connect to the primary or got no answer from
    /// it for a while. Other proxies may be able to reach it.
    bool is_primary_unreachable() const
    {
        return primary_unreachable_;
    }
    load_counters& load()
    {
        return load_;
    }
    std::size_t waiting() const
    {
        return waiting_.size();
    }
    /// Connections closed so far to open one for another account.
    std::uint64_t exchanged_links() const
    {
        return exchanged_links_;
    }
    /// Reads granted so far by `locality`; 0 if it is not in use.
    std::uint64_t reads_in_own_data_centre() const
    {
        return own_reads_;
    }
    std::uint64_t reads_sent_to_other_data_centres() const
    {
        return sent_out_reads_;
    }

private:
    /// The assumed lag of a replica before its first answer: a usual
    /// replication lag.
    static constexpr double initial_lag_ms = 100;

    struct endpoint_state
    {
        endpoint_entry entry_;
        bool listed_ = true;
        std::vector<link_ptr> idle_;
        std::size_t links_ = 0; ///< open links, idle or not
        std::size_t opening_links_ = 0;
        concurrency_window window_{{}};
        service_pace pace_;
        bool backlogged_ = false; ///< requests wait that it may run
        instant avoided_until_ = never;
        instant full_until_ = never;
        bool drained_ = false; ///< its use has ended, and this was logged
        instant not_primary_until_ = never;
        double lag_ms_ = initial_lag_ms;
        instant last_answer_ = never;
        instant unanswered_write_since_ = never;
        instant last_write_sent_at_ = never;
        bool unreachable_ = false;
        primary_contact contact_{{}};
        std::vector<endpoint_link*> all_; ///< open links and those in set-up
        log_position last_position_;
    };
    struct waiting_work
    {
        request_id request_id_;
        link_request request_;
        grant_handler granted_;
        instant since_;
    };
    struct timed_link
    {
        link_ptr link_;
        instant close_at_;
    };

    endpoint_state* endpoint_of(const endpoint_link& link) const;
    /// The endpoint answered; the link of the answer had waited since then.
    void on_contact(endpoint_state& endpoint, instant waited_since,
                    instant now);
    std::int64_t primary_claim_version(const endpoint_state& endpoint) const;
    std::optional<std::size_t> primary_index(instant now) const;
    /// Whether a promotion order for another endpoint may take effect.
    bool is_being_replaced(const std::string& endpoint_id, instant now) const;
    /// The primary, unless the request must not run there.
    std::optional<std::size_t> primary_for(const link_request& request,
                                           instant now) const;
    enum class availability
    {
        idle, ///< an idle connection that the request may use
        open  ///< a connection that can be opened for it
    };
    /// `since`: when the request began to wait.
    std::vector<endpoint_candidate> endpoint_loads(const link_request& request,
                                                   availability wanted,
                                                   instant since,
                                                   instant now) const;
    std::optional<std::size_t> choose(const link_request& request,
                                      availability wanted, instant since,
                                      instant now) const;
    /// The endpoints that may run the request, by index.
    std::vector<std::size_t>
    usable_endpoints(const link_request& request,
                     std::span<const endpoint_candidate> candidates,
                     instant now) const;
    std::vector<std::size_t>
    excluded_indexes(const link_request& request) const;
    void refuse_unservable(instant now);
    /// The reference is valid until the next call.
    route_load& load_of(const std::string& route);
    /// Whether a connection may be opened, without regard to the share.
    bool accepts_links(const endpoint_state& endpoint, instant now) const;
    bool has_free_share(const endpoint_state& endpoint) const
    {
        return endpoint.links_ + endpoint.opening_links_ < share_;
    }
    /// Whether a connection for `account` takes the place of an idle one of
    /// another account. Beyond the connections that stay open without work that
    /// is so as long as there is an idle one: after a common power failure the
    /// endpoint still holds the connections that were open, and as many new
    /// ones must fit in beside them.
    bool needs_exchange(const endpoint_state& endpoint,
                        const std::string& account) const;
    bool may_open_link(const endpoint_state& endpoint, instant now) const
    {
        return has_free_share(endpoint) && accepts_links(endpoint, now);
    }
    /// Whether a connection can be opened for the request, possibly in place of
    /// an idle one of another account.
    bool may_open_link_for(const endpoint_state& endpoint,
                           const link_request& request, instant since,
                           instant now) const;
    /// The idle connection that is closed for a request that has waited since
    /// `since`; null if there is none.
    static link_ptr link_to_exchange(const endpoint_state& endpoint,
                                     const link_request& request, instant since,
                                     instant now,
                                     const exchange_limits& limits);
    static bool may_use(const endpoint_link& link, const link_request& request);
    static std::size_t opening_for(const endpoint_state& endpoint,
                                   const std::string& account);
    /// Whether `locality` chooses the endpoint.
    bool uses_locality(const link_request& request) const
    {
        return locality_ && !request.primary_ && !request.takes_no_slot_;
    }
    /// The endpoint for a read and whether a connection there is idle; else one
    /// can be opened. `ahead`: reads before it that wait.
    struct locality_choice
    {
        std::optional<std::size_t> endpoint_{};
        bool idle_ = false;
    };
    locality_choice choose_by_locality(const waiting_work& work,
                                       std::size_t ahead, instant now);
    void log_spill_over(instant now);
    struct account_demand
    {
        std::size_t waiting_ = 0; ///< requests that wait for a connection
        std::size_t rank_ = 0;    ///< of one request among them, from 1
    };
    /// Opens a connection for a request of an account that got none, unless
    /// enough are being set up for the requests up to this one. `decided`: the
    /// endpoint, if it has been chosen.
    void open_for_account(const link_request& request, instant since,
                          const account_demand& demand,
                          std::optional<std::size_t> decided, instant now);
    bool accepts_work(const endpoint_state& endpoint, instant now) const;
    void open_link(endpoint_state& endpoint, const std::string& account);
    void on_opened(const link_ptr& link, const result<reply>& first);
    /// Requires an idle connection that the request may use.
    static link_ptr take_idle(endpoint_state& endpoint,
                              const link_request& request);
    void schedule_dispatch();
    void dispatch();
    /// The number of connections that stay open without work.
    std::size_t retained_links() const;
    void close_idle(endpoint_state& endpoint, instant now);
    void update_primary_reachability(instant now);
    static bool is_drained(const endpoint_state& endpoint, instant now);
    static void log_end_of_use(endpoint_state& endpoint, instant now);
    void close_late_links(instant now);
    void renew_mark(instant now);
    void request_mark(const link_ptr& link);
    static std::int64_t busy_links(const endpoint_state& endpoint);

    boost::asio::io_context& loop_;
    options options_;
    std::size_t share_ = 1;
    bool is_home_ = true;
    bool uses_accounts_ = false;
    std::vector<std::unique_ptr<endpoint_state>> endpoints_;
    std::list<waiting_work> waiting_;
    std::map<std::string, route_load> route_loads_; ///< by route name
    /// Links whose statement was abandoned; returned once it is answered.
    std::vector<timed_link> abandoned_links_;
    std::vector<timed_link> timed_links_; ///< closed unless answered in time
    freshness_marks marks_{{}};
    load_counters load_;
    retry_budget repeat_budget_{{.earned_per_attempt_ = 0.05, .cap_ = 10.0}};
    instant last_primary_grant_ = never;
    instant last_read_grant_ = never;
    instant last_mark_demand_ = never;
    bool renewing_mark_ = false;
    bool primary_unreachable_ = false;
    promotion_record promoted_;
    pending_promotion pending_promotion_;
    std::vector<std::function<void()>> awaiting_rows_;
    std::uint64_t exchanged_links_ = 0;
    std::optional<locality> locality_; ///< only if the option is set
    /// Links granted by `locality` whose first answer has not arrived.
    std::set<const endpoint_link*> read_links_;
    std::uint64_t own_reads_ = 0;
    std::uint64_t sent_out_reads_ = 0;
    request_id next_request_id_ = 1;
    bool dispatch_scheduled_ = false;
    std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
};

} // namespace tanagerspan

#endif
