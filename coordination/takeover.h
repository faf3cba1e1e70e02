#ifndef TANAGERSPAN_COORDINATION_TAKEOVER_H
#define TANAGERSPAN_COORDINATION_TAKEOVER_H

// One attempt to give a service a new primary, as a state machine.
//
// Endpoints acknowledge a change once a replica received it, whichever one.
// So nothing acknowledged is lost if the chosen endpoint's log reaches as far
// as the log of every other replica, compared after those were told to
// receive nothing more: what they hold then is all that they vouched for.
//
//   - A primary that answers is made a replica first: from then on nothing is
//     acknowledged, whoever joins the group or is released by an order that
//     was carried out late. That costs writes the second of the promotion.
//   - A primary that does not answer is left alone.
//   - Then all replicas are held and the furthest is chosen. All have to
//     answer; a log that can't be seen may hold what no other has.
//
// An order may be carried out late. So the chosen endpoint is recorded before
// the order goes out, and a later attempt names the same one as long as that
// order may still be under way. The attempt acts only within its lease; after
// a pause of the process it gives up, since another host may have taken over.
// Replicas that were held are released when the attempt gives up or finds that
// another endpoint leads, unless an order may be under way: it would cut what
// they acknowledge from then on. A promotion releases them by itself.
//
// Pure: time and events in, actions out. Control thread only.

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "state/instant.h"
#include "state/session_messages.h"

namespace tanagerspan
{

/// Why an attempt was started.
enum class takeover_reason
{
    leaving,    ///< the primary is to go, or its entry lapsed
    silent,     ///< it does not answer this host
    stuck,      ///< it answers, but acknowledges nothing
    unfinished, ///< an earlier attempt was not brought to its end
    no_primary  ///< no endpoint says that it leads
};

std::string_view name_of(takeover_reason reason);

struct takeover_member
{
    std::string id_;
    bool leaving_ = false;
};

struct takeover_action
{
    enum class kind
    {
        ask_status,
        hold,      ///< with `term_`
        step_down, ///< with `term_`
        release,
        record_target,
        order,
        finish
    };
    kind kind_ = kind::finish;
    std::string endpoint_id_{}; ///< for `finish`: who leads, if known
    std::uint64_t term_ = 0;
    std::string detail_{}; ///< for `finish`: why
};

class takeover
{
public:
    struct options
    {
        /// Answers to the first question are awaited this long: a status
        /// waits for a slot behind the work that is queued there.
        std::int64_t inspect_ms_ = 600;
        /// A question or a hold without an answer is repeated after this.
        std::int64_t repeat_ms_ = 300;
        /// A replica that receives has what the primary held this long ago:
        /// many round trips between data centres.
        std::int64_t receive_ms_ = 150;
        /// Between the step down of a primary and the comparison: what it sent
        /// before reaches the replicas meanwhile.
        std::int64_t settle_ms_ = 40;
        /// An order whose answer is missing is repeated after this: the same
        /// order again changes nothing.
        std::int64_t order_repeat_ms_ = 400;
        /// The attempt's lease, from the claim on; other hosts wait longer.
        std::int64_t lease_ms_ = 6000;
    };

    takeover(options opts, takeover_reason reason, std::string primary_id,
             std::vector<takeover_member> members,
             std::optional<std::string> ordered_before, instant claimed);

    std::vector<takeover_action> start(instant now);
    /// The answer to ask_status, hold or release; nullopt: none came.
    std::vector<takeover_action>
    on_status(const std::string& id, std::optional<endpoint_status> status,
              instant now);
    /// The endpoint lives, but takes no connection or question now.
    std::vector<takeover_action> on_refused(const std::string& id, instant now);
    /// An endpoint joined the group: it may hold what no other has.
    std::vector<takeover_action> on_joined();
    std::vector<takeover_action> on_recorded(bool recorded, instant now);

    enum class order_outcome
    {
        done,
        refused, ///< fenced, or the endpoint does not run
        not_done,
        unknown
    };
    std::vector<takeover_action> on_ordered(order_outcome outcome, instant now);
    std::vector<takeover_action> tick(instant now);

    bool finished() const
    {
        return phase_ == phase::finished;
    }

private:
    enum class phase
    {
        inspecting,
        comparing, ///< whether a replica receives what the primary holds
        demoting,  ///< a primary that answers
        settling,
        holding,
        recording,
        ordering,
        finished
    };
    struct member_state
    {
        takeover_member who_;
        bool answered_ = false;
        bool failed_ = false;  ///< gave no answer to the last question
        bool refused_ = false; ///< lives, but is too busy to answer
        bool held_ = false;
        endpoint_status status_{};
        instant asked_ = never;
    };
    using actions = std::vector<takeover_action>;

    member_state* find(const std::string& id);
    std::vector<member_state*> replicas();
    actions judge_inspection(instant now);
    actions demote(instant now);
    actions hold_replicas(instant now);
    actions check_held(instant now);
    actions choose_furthest(instant now);
    actions record();
    std::optional<actions> end_early(bool alive);
    actions compare(instant now);
    actions judge_comparison(instant now);
    /// Of all replicas that may be held, but the one that leads.
    actions releases(const std::string& leader) const;
    actions give_up(std::string why);
    actions finish(std::string leader, std::string why);
    member_state* choose_target(bool held_only);
    bool lease_over(instant now) const;

    options options_;
    takeover_reason reason_;
    std::string primary_id_;
    std::optional<std::string> ordered_before_;
    instant claimed_;
    phase phase_ = phase::inspecting;
    std::vector<member_state> members_;
    log_position primary_held_{};
    std::string target_;
    std::uint64_t hold_term_ = 0;
    instant phase_since_ = never;
    instant ordered_at_ = never;
    bool order_out_ = false;
    bool outcome_unknown_ = false; ///< an order may still be carried out
};

} // namespace tanagerspan

#endif
