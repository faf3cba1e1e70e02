#ifndef TANAGERSPAN_COORDINATION_GROUP_MONITOR_H
#define TANAGERSPAN_COORDINATION_GROUP_MONITOR_H

// One proxy's watch over one database group: keeps the view, suspects the
// primary, promotes, tells late members of the term. Control thread only.
//
// One status question is always open at each member; the member holds it
// until its log or term changes, so a view follows writes without polling
// and an idle group costs one exchange per member and `probe_wait_ms`.
//
// Suspicion comes from the group's own members: a majority of members, each
// heard by this proxy lately, say that no primary has been heard from for
// `silence_ms`. A proxy that is itself cut off hears no majority, and one
// that alone lost the primary hears replicas that still follow it, so
// neither promotes. While a primary and one replica hear each other in a
// group of three, writes are confirmed and nothing is changed.
//
// Of several proxies the one of rank 0 claims first; the others wait their
// rank times `stagger_ms` plus a seeded jitter. After a claim by anyone all
// are quiet for `silence_ms`, in which the members find the new primary.

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
        std::int64_t stagger_ms_ = 400;
        std::int64_t move_hold_ms_ = 3000;
        std::int64_t relieve_ms_ = 1500;
        std::int64_t relieve_pause_ms_ = 10'000;
    };

    /// Ask for status; answer by `on_status` with the same `asked_`.
    struct probe
    {
        std::size_t member_;
        status_request request_;
        instant asked_;
    };
    /// Send a promise or an order; answer by `on_step`.
    struct send_step
    {
        promotion::message message_;
    };
    /// Ask the primary to take no writes for a planned move; its answer by
    /// `on_held`.
    struct hold
    {
        std::size_t member_;
        std::uint64_t term_;
        std::int64_t hold_ms_;
    };
    /// A decision worth a log line.
    struct note
    {
        std::string what_;
        std::string cause_;
        std::uint64_t term_ = 0;
    };
    using action = std::variant<probe, send_step, hold, note>;

    group_monitor(options opts, instant now);

    /// Call at least every 20 ms, and after each event.
    std::vector<action> tick(instant now);

    /// `status` is empty when the question failed or timed out.
    void on_status(std::size_t member, instant asked,
                   const std::optional<member_status>& status, instant now);

    void on_step(promotion::step kind, std::size_t member, instant asked,
                 const std::optional<member_status>& status, instant now);

    /// The primary of `term` answered that it takes no writes for now.
    void on_held(std::size_t member, std::uint64_t term, instant now);

    /// Asks every member for status at once (a read waits for freshness).
    void nudge();

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

    /// True once after each change of the view.
    bool take_changed();

private:
    struct question
    {
        instant asked_ = never;
        bool open_ = false;
        bool nudged_open_ = false;
        instant nudge_asked_ = never;
        instant next_ = never;
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
    std::size_t silent_members(instant now) const;
    void send_probes(instant now, std::vector<action>& out);
    void spread_term(instant now, std::vector<action>& out);
    void consider_promotion(instant now, std::vector<action>& out);
    void run_promotion(instant now, std::vector<action>& out);
    void relieve_leaving(instant now);
    void run_move(instant now, std::vector<action>& out);
    void claim(instant now, std::optional<std::size_t> preferred,
               std::string cause, std::vector<action>& out);

    options options_;
    group_view view_;
    std::vector<question> questions_;
    std::vector<instant> told_;
    std::optional<promotion> promotion_;
    std::optional<planned_move> move_;
    std::mt19937_64 random_;
    std::size_t rank_ = 0;
    std::uint64_t last_claimed_ = 0;
    std::uint64_t last_promised_seen_ = 0;
    instant suspected_since_ = never;
    instant quiet_until_ = never;
    instant leaving_since_ = never;
    instant next_relief_ = never;
    std::int64_t jitter_ms_ = 0;
    bool nudge_wanted_ = false;
    bool changed_ = true;
};

} // namespace tanagerspan

#endif
