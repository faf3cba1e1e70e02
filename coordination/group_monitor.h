#ifndef TANAGERSPAN_COORDINATION_GROUP_MONITOR_H
#define TANAGERSPAN_COORDINATION_GROUP_MONITOR_H

// Monitors one database group for one proxy: keeps the view, detects a failed
// primary, promotes another member and sends the current term to members that
// missed it. Control thread only.
//
// One status request is always open at each member (long polling): the member
// answers once its log or term changes, so the view follows writes without
// polling, and an idle group costs one exchange per member and
// `probe_wait_ms_`.
//
// The members themselves detect the failure: the primary is suspected when a
// majority of members, each of which answered this proxy recently, report that
// they have received nothing from a primary for `silence_ms_`. A proxy that is
// cut off gets no majority of answers, and a proxy that alone lost the
// connection to the primary gets answers of replicas that still receive from
// it, so neither promotes. As long as the primary and one replica of a group of
// three are connected, writes are confirmed and the primary is kept.
//
// Of several proxies the one with rank 0 claims first; the others wait their
// rank times `rank_delay_ms_` plus a seeded jitter. After a claim by any proxy,
// no proxy claims for `silence_ms_`, in which the members find the new primary.

#include <cstdint>
#include <optional>
#include <random>
#include <string>
#include <variant>
#include <vector>

#include "coordination/group_view.h"
#include "coordination/promotion.h"

namespace tanagerspan
{

class group_monitor
{
public:
    struct options
    {
        std::string service_{};
        std::vector<std::pair<std::string, std::string>> members_{};
        std::string claimant_{}; ///< proxy name and incarnation
        std::uint64_t seed_ = 1;
        std::int64_t probe_wait_ms_ = 300;
        std::int64_t probe_timeout_ms_ = 700;
        std::int64_t silence_ms_ = 600;
        std::int64_t rank_delay_ms_ = 400;
        std::int64_t move_hold_ms_ = 3000;
        std::int64_t leaving_rank_delay_ms_ = 1500;
        std::int64_t leaving_retry_ms_ = 10'000;
    };

    /// Send a status request; report the answer by `on_status` with the same
    /// `asked_`.
    struct probe
    {
        std::size_t member_;
        status_request request_;
        instant asked_;
    };
    /// Send a promise or lead message of a promotion; report the answer by
    /// `on_step`.
    struct send_step
    {
        promotion::message message_;
    };
    /// Ask the primary to accept no writes for `hold_ms_`, for a planned move;
    /// report the answer by `on_held`.
    struct hold
    {
        std::size_t member_;
        std::uint64_t term_;
        std::int64_t hold_ms_;
    };
    /// A decision to log.
    struct decision
    {
        std::string what_;
        std::string cause_;
        std::uint64_t term_ = 0;
    };
    using action = std::variant<probe, send_step, hold, decision>;

    group_monitor(options opts, instant now);

    /// Call at least every 20 ms, and after each event.
    std::vector<action> tick(instant now);

    /// `status` is nullopt if the request failed or timed out.
    void on_status(std::size_t member, instant asked,
                   const std::optional<member_status>& status, instant now);

    void on_step(promotion::step kind, std::size_t member, instant asked,
                 const std::optional<member_status>& status, instant now);

    /// The primary of `term` confirmed that it accepts no writes for now.
    void on_held(std::size_t member, std::uint64_t term, instant now);

    /// Sends every member a status request that is answered immediately,
    /// because a read waits for a fresher view.
    void refresh_view();

    /// Starts a planned move. Errors: not_found, no_primary.
    result<void> move_primary(std::string_view target, instant now);

    void set_rank(std::size_t rank)
    {
        rank_ = rank;
    }

    const group_view& view() const
    {
        return view_;
    }

    /// Whether the view changed since the last call.
    bool take_changed();

private:
    struct status_exchange
    {
        instant asked_ = never;
        bool awaiting_answer_ = false;
        bool awaiting_refresh_ = false;
        instant refresh_asked_at_ = never;
        instant next_at_ = never;
    };
    struct planned_move
    {
        std::size_t target_;
        instant until_;
        std::uint64_t held_term_ = 0;
        instant held_at_ = never;
        instant hold_sent_ = never;
    };

    void accept(std::size_t member, instant asked, const member_status& status,
                instant now);
    void add_mark(instant now);
    std::size_t members_without_primary(instant now) const;
    void send_probes(instant now, std::vector<action>& out);
    void send_term_to_outdated(instant now, std::vector<action>& out);
    void check_suspicion(instant now, std::vector<action>& out);
    void run_promotion(instant now, std::vector<action>& out);
    void move_from_leaving(instant now);
    void run_move(instant now, std::vector<action>& out);
    void claim(instant now, std::optional<std::size_t> preferred,
               std::string cause, std::vector<action>& out);

    options options_;
    group_view view_;
    std::vector<status_exchange> exchanges_;
    std::vector<instant> term_sent_at_;
    std::optional<promotion> promotion_;
    std::optional<planned_move> move_;
    std::mt19937_64 random_;
    std::size_t rank_ = 0;
    std::uint64_t last_claimed_ = 0;
    std::uint64_t last_promised_seen_ = 0;
    instant suspected_since_ = never;
    instant no_claim_until_ = never;
    instant leaving_since_ = never;
    instant next_leaving_move_ = never;
    std::int64_t jitter_ms_ = 0;
    bool refresh_wanted_ = false;
    bool changed_ = true;
};

} // namespace tanagerspan

#endif
