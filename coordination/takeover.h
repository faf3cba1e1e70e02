#ifndef TANAGERSPAN_COORDINATION_TAKEOVER_H
#define TANAGERSPAN_COORDINATION_TAKEOVER_H

// One attempt to give a service a new primary, as a state machine.
//
// A primary acknowledges a change once any one replica has confirmed that it
// received it. promotion_choice.h decides which endpoint can be promoted
// without losing an acknowledged change; the attempt collects the evidence and
// keeps it valid until the promotion order is sent:
//
//   - A primary that answers is first told to step down, and nothing is
//     acknowledged from then on. Writes wait for the second that the promotion
//     takes. Its log is then complete, so a replica without an answer does not
//     hold up the promotion of one that has reached the end of that log. If
//     none has, the list of endpoints is read again: one that joined shortly
//     before may have confirmed what the others lack.
//   - A primary that this host does not reach may be reached by other hosts,
//     which carry out the commands for it (see node/endpoint_commands.h). It is
//     told to step down in the same way. Pausing its replicas would prove
//     nothing: an endpoint that joins confirms changes from its first moment,
//     before any host knows it.
//   - A primary that no host reaches cannot be made to step down, and gets no
//     new changes. Replication to its replicas is paused, so that they confirm
//     nothing more, and their logs are compared. The list of endpoints is read
//     again, since one that joined shortly before may have the longest log, and
//     once more when the row of the order is stored: from then on hosts give
//     no work to a primary that they find under another id. If the primary
//     answers meanwhile, it is told to step down after all.
//   - A pause names exactly the term that the promotion starts. The promotion
//     then ends every pause, also one that arrives after it. Only if an earlier
//     attempt may have promoted an endpoint to a term that no answer shows, the
//     pauses name the term after that one; once the new primary is seen, the
//     replicas are resumed if its term is an earlier one.
//   - A primary that answers, but acknowledges nothing, keeps its role unless
//     another endpoint is known to have all changes: it still serves reads, and
//     its replicas may receive again.
//   - A primary that answers while an earlier attempt still keeps its replicas
//     paused is kept, and the replicas are resumed: none of them could confirm
//     a change.
//
//   - If an endpoint that departed has an unknown log and the primary does not
//     answer, the attempt waits until the log counts as lost, or ends early so
//     that the next one can.
//
// An order may take effect late. Its target is recorded before the order is
// sent, and later attempts order the same endpoint as long as the order may be
// pending (see takeover_row.h). If that endpoint is the primary by now, another
// order for it changes nothing, but its higher fencing token invalidates the
// older orders. The attempt sends such an order, a fence, before it replaces
// that primary.
//
// An accepted order takes effect about a second later. Until the effect is
// seen, a primary that comes back is told to step down, and all replicas stay
// paused, including those that join or restart: the promotion would discard
// the changes that they confirm.
//
// The attempt acts only within its lease. If the process was suspended for
// longer, it gives up, since another host may have made a claim. An attempt
// that ends without a promotion records which replicas it resumes, resumes
// them, and reports the resume commands that may arrive late. No replica is
// resumed while an order may be pending for an endpoint other than the primary:
// the promotion would discard what is acknowledged from then on.
//
// No I/O: time and events come in, actions are returned. Control thread only.

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "coordination/promotion_choice.h"
#include "coordination/takeover_row.h"
#include "state/instant.h"
#include "state/session_messages.h"

namespace tanagerspan
{

/// Why an attempt was started.
enum class takeover_reason
{
    leaving,    ///< the primary is leaving, or its entry lapsed
    silent,     ///< the primary does not answer this host
    stuck,      ///< the primary answers, but acknowledges no writes
    unfinished, ///< an earlier attempt was not completed
    no_primary  ///< no endpoint is listed as primary
};

std::string_view name_of(takeover_reason reason);

/// An endpoint of the group, as the host knows it when the attempt starts.
struct takeover_member
{
    std::string id_;
    bool leaving_ = false;
    bool listed_ = true; ///< false: the endpoint's entry was removed recently
    /// For an endpoint that is not listed: see `replica_log`.
    std::optional<log_position> received_bound_{};
};

/// How an endpoint's answer reached this host.
enum class answer_path
{
    direct,
    relayed ///< another host asked; this host may not reach the endpoint
};

/// The input of an attempt.
struct takeover_task
{
    takeover_reason reason_ = takeover_reason::silent;
    std::string primary_id_; ///< empty: unknown
    std::vector<takeover_member> members_;
    pending_commands pending_{}; ///< of earlier attempts
    /// See `promotion_evidence::departed_bound_`.
    log_position departed_bound_{};
    log_position floor_{};       ///< from the claimed row
    std::uint64_t term_ = 0;     ///< from the claimed row
    instant claimed_at_ = never; ///< start of the lease
    /// Since when this host has known no working primary; never: it knows one.
    instant without_primary_since_ = never;
};

/// What the host is to do next for the attempt.
struct takeover_action
{
    enum class kind
    {
        ask_status,
        pause,     ///< pause replication to a replica; uses `term_`
        step_down, ///< uses `term_`
        resume,    ///< resume replication to a replica
        /// Write the row of an order; uses `term_` and `floor_`.
        record_target,
        list_members, ///< read the list of the group's endpoints
        order,        ///< order the platform to promote the endpoint
        /// Write the row of the attempt's end, before replicas are resumed.
        record_end,
        finish ///< the last action of an attempt
    };
    kind kind_ = kind::finish;
    /// The endpoint to act on. For `record_end` and `finish` the primary, empty
    /// if unknown.
    std::string endpoint_id_{};
    /// For `record_end` and `finish` the term in which the ordered endpoint was
    /// seen as primary, 0 if it was not seen.
    std::uint64_t term_ = 0;
    std::string detail_{}; ///< the reason of the end
    log_position floor_{};
    /// For `finish`: if true, the row is left as it is; if false, the row of
    /// the attempt's end is written.
    bool keep_row_ = false;
};

class takeover
{
public:
    struct options
    {
        /// Timeout for the answers to the first status statement, which waits
        /// for a slot behind the work that is queued at the endpoint.
        std::int64_t inspect_timeout_ms_ = 600;
        /// A status statement or command without an answer is repeated after
        /// this.
        std::int64_t repeat_ms_ = 300;
        /// Within this time a connected replica receives everything that the
        /// primary's log held before: many round trips between data centres.
        std::int64_t receive_ms_ = 150;
        /// Wait between the step down of a primary and the comparison of logs,
        /// in which the replicas receive what the primary sent before.
        std::int64_t settle_ms_ = 40;
        /// An order without an answer is repeated after this. Repeating an
        /// order is idempotent.
        std::int64_t order_repeat_ms_ = 400;
        /// Length of the attempt's lease, which starts with the claim; other
        /// hosts wait longer before they claim.
        std::int64_t lease_ms_ = 6000;
        /// How long a confirmed pause or step down is assumed to last. An
        /// endpoint that restarts forgets it, but needs longer than this to
        /// restart. It spans two repeats.
        std::int64_t pause_valid_ms_ = 600;
        /// After this time without a primary, endpoints that departed and do
        /// not answer count as lost with their logs. A crashed endpoint that
        /// comes back at all is back by then.
        std::int64_t lost_after_ms_ = 8000;
        /// An attempt that cannot last until then waits so long for the answer
        /// of a silent endpoint.
        std::int64_t unread_log_wait_ms_ = 2000;
        /// An accepted promotion has taken effect after this; the platform
        /// states at most one second.
        std::int64_t promotion_ms_ = 1500;
        /// Interval at which the ordered endpoint is asked whether it is
        /// primary. Callers' writes wait for the answer.
        std::int64_t promotion_poll_ms_ = 50;
        /// Resume commands are no longer repeated after this. A replica
        /// that answers at all does so within a few repeats.
        std::int64_t resume_timeout_ms_ = 1000;
    };

    takeover(options opts, takeover_task task);

    // Each function returns the actions to carry out next, in order.

    /// Call once, before the other functions.
    std::vector<takeover_action> start(instant now);
    /// The answer to ask_status, pause, step_down or resume; nullopt: no
    /// answer.
    std::vector<takeover_action>
    on_status(const std::string& id, std::optional<endpoint_status> status,
              instant now, answer_path path = answer_path::direct);
    /// The endpoint is running, but answered with an error, such as too many
    /// connections.
    std::vector<takeover_action> on_refused(const std::string& id, instant now);
    /// The list that `list_members` asked for at `requested_at` was read.
    /// Endpoints that it showed first were passed to `on_joined` before.
    std::vector<takeover_action> on_members_listed(instant requested_at,
                                                   instant now);
    /// An endpoint joined the group. It may receive changes that no other
    /// endpoint has.
    std::vector<takeover_action> on_joined(const std::string& id, instant now);
    /// An endpoint started again, so that its former log is gone. `former` is
    /// that log's member; it has an id of its own.
    void on_restarted(const takeover_member& former);
    /// The outcome of `record_target`. `recorded` is false also if the outcome
    /// is unknown.
    std::vector<takeover_action> on_target_recorded(bool recorded, instant now);
    /// The outcome of `record_end`. `recorded` is false also if the outcome is
    /// unknown.
    std::vector<takeover_action> on_end_recorded(bool recorded, instant now);

    enum class order_outcome
    {
        done,     ///< accepted; the promotion may take effect later
        refused,  ///< fenced, or the endpoint does not run
        not_done, ///< failed without effect; the order is repeated
        unknown   ///< no answer; the order may still take effect
    };
    /// The outcome of order.
    std::vector<takeover_action> on_ordered(order_outcome outcome, instant now);
    /// Handles timeouts and repeats; call about every 25 ms.
    std::vector<takeover_action> tick(instant now);

    bool finished() const
    {
        return phase_ == phase::finished;
    }

    /// The commands that may take effect after `now`, for the row.
    pending_commands pending_at(instant now) const;

private:
    enum class phase
    {
        inspecting, ///< waiting for the first status of every member
        comparing,  ///< checking whether a replica receives from the primary
        demoting,   ///< waiting for the primary to step down
        settling,   ///< waiting for replicas to receive what was sent before
        pausing,    ///< pausing replicas and comparing their logs
        recording_target, ///< waiting for the row of an order
        listing, ///< reading the list of endpoints again, before the order
        fencing, ///< sending an order for the current primary as a fence
        /// Waiting until orders that were accepted before the fence have taken
        /// effect.
        fenced,
        ordering,      ///< waiting for the order or the promotion
        recording_end, ///< waiting until the row of the end is stored
        resuming,      ///< resuming replicas
        finished
    };
    struct member_state
    {
        takeover_member info_;
        bool answered_ = false;
        bool failed_ = false;  ///< no answer to the last status statement
        bool refused_ = false; ///< running, but too busy to answer
        endpoint_status status_{};
        answer_path path_ = answer_path::direct; ///< of `status_`
        instant paused_at_ = never; ///< last confirmation of the pause
        instant asked_at_ = never;
        bool seen_as_replica_ = false; ///< an answer reported a replica
        bool to_resume_ = false;
        /// A resume command got no answer and may arrive late.
        bool resume_pending_ = false;
    };
    using actions = std::vector<takeover_action>;

    member_state* find(const std::string& id);
    /// All members except a primary that has not stepped down.
    std::vector<member_state*> replicas();
    bool is_replica(const member_state& member) const;
    bool is_new_primary(const std::string& id,
                        const endpoint_status& status) const;
    actions evaluate_inspection(instant now);
    actions evaluate_primary(member_state& primary, instant now);
    actions start_comparison(instant now);
    actions evaluate_comparison(instant now);
    /// Whether another endpoint could be promoted if the primary stepped down
    /// with its present log.
    bool may_replace_primary(instant now);
    actions replace_primary(instant now);
    actions demote(instant now);
    actions pause_replicas(instant now);
    actions on_pause_answer(member_state& member, bool answered, instant now);
    /// Adds a command for a primary that did not answer, at most every
    /// `after_ms`.
    void command_silent_primary(actions& out, takeover_action::kind command,
                                std::int64_t after_ms, instant now);
    actions add_member(const std::string& id, takeover_action::kind command,
                       instant now);
    actions request_list(instant now);
    /// Whether the primary, which has not stepped down, reports that it works.
    bool is_primary_back(const member_state& member) const;
    actions check_paused(instant now);
    promotion_evidence collect_evidence(instant now) const;
    /// What to do if the recorded target can no longer be ordered; empty if it
    /// can.
    actions replace_invalid_choice(instant now);
    actions send_order(instant now);
    /// Whether endpoints that departed and do not answer count as lost.
    bool unread_logs_lost(instant now) const;
    /// Whether the attempt's lease ends before `unread_logs_lost` can hold.
    bool ends_before_logs_are_lost() const;
    actions repeat_order(instant now);
    actions tick_phase(instant now);
    actions ask_replicas(takeover_action::kind what, std::int64_t after_ms,
                         instant now);
    actions on_resume_answer(member_state& member, bool resumed);
    actions resume_replicas(instant now);
    void choose_replicas_to_resume(const std::string& primary, instant now);
    actions give_up(std::string reason, instant now);
    actions finish(std::string primary, std::string reason, instant now);
    actions on_target_status(const endpoint_status& status, instant now);
    /// Tells a primary that came back to step down, so that the evidence for a
    /// pending order stays valid.
    actions demote_returned_primary(member_state& member);
    actions tick_ordering(instant now);
    actions await_promotion(instant now);
    /// Whether an order of this attempt may still take effect.
    bool is_own_order_pending(instant now) const;
    bool is_own_order_unanswered() const
    {
        return order_outcome_unknown_ || order_in_flight_;
    }
    actions complete(bool keep_row);
    bool lease_expired(instant now) const;

    options options_;
    takeover_task task_;
    phase phase_ = phase::inspecting;
    std::vector<member_state> members_;
    log_position primary_position_{};
    bool stepped_down_ = false; ///< this attempt made the primary step down
    instant stepped_down_at_ = never;
    /// When the primary last confirmed that it has stepped down.
    instant step_down_confirmed_at_ = never;
    instant list_requested_at_ = never;
    /// When the list was requested that was read last. It counts only if that
    /// was after the step down and, if the primary does not answer, as long as
    /// a pause.
    instant listed_at_ = never;
    bool pauses_sent_ = false;
    /// The primary answered this attempt and has not stepped down.
    bool primary_answered_ = false;
    std::string target_;
    /// Why no endpoint could be chosen when the logs were compared last.
    promotion_obstacle obstacle_ = promotion_obstacle::none;
    std::uint64_t pause_term_ = 0;
    std::uint64_t newest_seen_term_ = 0; ///< the newest term in an answer
    instant accepted_at_ = never;     ///< when the platform accepted the order
    std::uint64_t promoted_term_ = 0; ///< reported by the ordered endpoint
    bool resume_after_promotion_ = false;
    instant phase_since_ = never;
    /// When the attempt determined which replicas to resume.
    instant end_started_at_ = never;
    /// When the first step down command was sent to the primary.
    instant step_down_sent_at_ = never;
    instant ordered_at_ = never;
    bool order_in_flight_ = false;
    bool order_is_fence_ = false; ///< the order being recorded is a fence
    bool order_outcome_unknown_ = false; ///< an order may still take effect
    /// The attempt ends once the outcome of `record_target` is known.
    bool end_after_recording_ = false;
    std::string end_primary_;
    std::string end_reason_;
};

} // namespace tanagerspan

#endif
