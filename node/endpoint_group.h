#ifndef TANAGERSPAN_NODE_ENDPOINT_GROUP_H
#define TANAGERSPAN_NODE_ENDPOINT_GROUP_H

// The endpoints of one service as one proxy sees them: its connections to
// them, who waits for one, and the marks that prove how fresh a log is.
//
// Work that needs a connection is given one at once or waits here, by
// priority, then by arrival. A connection has one owner at a time: the work
// that it was given to, or the group while it is idle. Work that gives up
// before its answer came leaves the connection to the group, which keeps it
// out of use until the answer is there, or closes it.
//
// Who leads is a claim: an endpoint's own entry or the record of a promotion,
// the later one in the store goes first. A claim that the endpoint itself
// disproved is passed over for a while, and then the others are tried, since
// the store may be away: an endpoint that does not lead says so.
//
// Traffic thread only.

#include <cstdint>
#include <functional>
#include <list>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "coordination/concurrency_window.h"
#include "coordination/endpoint_choice.h"
#include "coordination/freshness_marks.h"
#include "coordination/retry_budget.h"
#include "coordination/takeover_trigger.h"
#include "coordination/wait_order.h"
#include "node/endpoint_link.h"
#include "state/service_catalogue.h"

namespace tanagerspan
{

/// What work asks of a connection.
struct link_request
{
    bool primary_ = false;
    std::optional<position_need> need_{};
    std::vector<std::string> excluded_{}; ///< endpoint ids
    waiting_order order_{};
    /// What it asks takes no slot of the endpoint.
    bool slotless_ = false;
    const session_values* session_ = nullptr; ///< for choosing a connection
};

/// A promotion that took effect.
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
        /// Kept open to each endpoint, so that a statement need not wait for
        /// a connection's set-up: one for a transaction, one for the rest.
        std::size_t warm_links_ = 2;
        /// An endpoint that failed is passed over this long: about the time
        /// in which a crashed one is noticed by the others, too.
        std::int64_t avoid_ms_ = 500;
        /// An endpoint that refused a connection for want of room is left
        /// alone this long, in which other proxies give some back.
        std::int64_t full_ms_ = 300;
        /// Idle connections beyond half of the share are closed after this.
        /// An endpoint drops the connections of hosts that lost power only
        /// after seconds; with half of its connections unused, the hosts find
        /// as many again when all of them start anew.
        std::int64_t surplus_idle_ms_ = 3000;
        /// An endpoint that was full gets no more than the share for this
        /// long: several times what others need to give theirs back.
        std::int64_t no_surplus_ms_ = 10'000;
        /// Connections beyond the share, while there is work for them.
        std::size_t surplus_ = 2;
        /// No new work goes to an endpoint that is known to be leaving for
        /// this long: the shortest drain period, 7 s, less the longest time
        /// in which a change of an entry is not asked for (`fleet_control`),
        /// less a call to a busy store.
        std::int64_t leaving_ms_ = 4500;
        /// Connections that are set up at the same time: each takes a slot.
        std::size_t opening_ = 1;
        /// A mark this old is renewed while reads ask for marks: several fit
        /// into the shortest bound, so that an older one is at hand that the
        /// replicas have.
        std::int64_t mark_every_ms_ = 250;
        /// Reads asked for marks within this.
        std::int64_t marks_wanted_ms_ = 3000;
        /// A connection that is not open by then is given up.
        std::int64_t open_ms_ = 1500;
        /// A primary without any answer for this long may be cut from this
        /// proxy alone: longer than any statement with an empty queue.
        std::int64_t cut_after_ms_ = 400;
        /// A connection that does not roll back by then is closed.
        std::int64_t roll_back_ms_ = 1000;
    };

    /// `granted` gets an idle link, exclusively.
    using grant_handler = std::function<void(link_ptr)>;
    using ticket = std::uint64_t;

    endpoint_group(boost::asio::io_context& loop, options opts);
    ~endpoint_group();

    /// `share`: connections to one endpoint that this proxy may always have;
    /// 0: it is no home of the service and opens one only for work at hand.
    void set_endpoints(const endpoint_list& endpoints, std::size_t share,
                       instant now);
    void set_promotion(promotion_record record);

    /// Waits for a link; `granted` is called later, never from within.
    ticket request(link_request wanted, grant_handler granted, instant now);
    /// Work that no longer waits.
    void withdraw(ticket which);

    /// Ends the ownership of a link. `usable`: it is in a known idle state.
    void give_back(const link_ptr& link, bool usable, instant now);
    /// Ends the ownership of a link whose answers are still awaited.
    void abandon(const link_ptr& link, instant close_at);
    /// Ends the ownership of a link in a transaction, which is rolled back.
    void roll_back(const link_ptr& link, instant now);

    /// A write or a commit went out.
    void on_write_asked(const link_ptr& link, instant now);
    void on_answered(const link_ptr& link, instant asked, instant now);
    /// The endpoint turned work away.
    void on_busy(const link_ptr& link);
    /// `behind_ms`: how long the position it lacked had been known here.
    void on_lagging(const link_ptr& link, std::int64_t behind_ms);
    void on_not_primary(const link_ptr& link, instant now);
    void on_failed(const link_ptr& link, instant now);

    /// Housekeeping, called every few ten milliseconds.
    void tick(instant now);

    /// Repeats of reads that got no answer in time; bounds the added load.
    retry_budget& repeats()
    {
        return repeats_;
    } /// When work of this kind was given a link last.
    instant last_served(bool primary) const
    {
        return primary ? primary_served_ : read_served_;
    }
    freshness_marks& marks()
    {
        return marks_;
    }
    /// A read looked for a mark.
    void on_mark_wanted(instant now)
    {
        marks_wanted_ = now;
    }
    primary_health health() const;
    /// The endpoint that is taken to lead now; empty where none is known.
    std::string primary_id(instant now) const;
    /// This proxy's connections to the primary fail or have been silent for
    /// a while; other proxies may reach it.
    bool is_primary_cut() const
    {
        return primary_cut_;
    }
    std::size_t waiting() const
    {
        return waiting_.size();
    }

private:
    /// Believed of a replica before it answered: a usual replication lag.
    static constexpr double first_lag_ms = 100;

    struct endpoint_state
    {
        endpoint_entry entry_;
        bool listed_ = true;
        std::vector<link_ptr> idle_;
        std::size_t links_ = 0; ///< open ones, idle or not
        std::size_t opening_ = 0;
        concurrency_window window_{{}};
        instant avoided_until_ = never;
        instant full_until_ = never;
        instant no_surplus_until_ = never;
        instant leaving_since_ = never;
        instant not_primary_until_ = never;
        double lag_ms_ = first_lag_ms;
        instant last_answer_ = never;
        instant first_unanswered_write_ = never;
        instant last_write_asked_ = never;
        bool unreachable_ = false;
        std::vector<endpoint_link*> all_; ///< open and opening ones
        log_position known_;
    };
    struct waiting_work
    {
        ticket ticket_;
        link_request wanted_;
        grant_handler granted_;
        instant since_;
    };
    struct limited_link
    {
        link_ptr link_;
        instant close_at_;
    };

    endpoint_state* state_of(const endpoint_link& link);
    std::int64_t claim_version(const endpoint_state& at) const;
    std::optional<std::size_t> primary_index(instant now) const;
    std::vector<endpoint_load> loads(const link_request& wanted, bool idle_only,
                                     instant now) const;
    std::optional<std::size_t> choose(const link_request& wanted,
                                      bool idle_only, instant now) const;
    bool may_open(const endpoint_state& at, instant now) const;
    bool may_work(const endpoint_state& at, instant now) const;
    void open_link(endpoint_state& at);
    void on_opened(const link_ptr& link, const result<reply>& first);
    link_ptr take_idle(endpoint_state& at, const session_values* session);
    void schedule_dispatch();
    void dispatch();
    std::size_t kept_links() const
    {
        return is_home_ ? (share_ + 1) / 2 : 0;
    }
    void close_surplus(endpoint_state& at, instant now);
    void judge_primary(instant now);
    void end_late_links(instant now);
    void renew_mark(instant now);
    void ask_for_mark(const link_ptr& link);
    static std::int64_t running_at(const endpoint_state& at);

    boost::asio::io_context& loop_;
    options options_;
    std::size_t share_ = 1;
    bool is_home_ = true;
    std::vector<std::unique_ptr<endpoint_state>> endpoints_;
    std::list<waiting_work> waiting_;
    std::vector<limited_link> abandoned_; ///< given back once answered
    std::vector<limited_link> limited_;   ///< closed unless answered in time
    freshness_marks marks_{{}};
    retry_budget repeats_{{.earned_per_attempt_ = 0.05, .cap_ = 10.0}};
    instant primary_served_ = never;
    instant read_served_ = never;
    instant marks_wanted_ = never;
    bool renewing_mark_ = false;
    bool primary_cut_ = false;
    promotion_record promoted_;
    ticket next_ticket_ = 1;
    bool dispatch_scheduled_ = false;
    std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
};

} // namespace tanagerspan

#endif
