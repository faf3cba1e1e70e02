#ifndef TANAGERSPAN_COORDINATION_TAKEOVER_TRIGGER_H
#define TANAGERSPAN_COORDINATION_TAKEOVER_TRIGGER_H

// When a host claims the duty of giving a service a new primary.
//
// Every host judges by what it sees itself. What starts an attempt is only a
// suspicion: the attempt asks the endpoints before it changes anything. Hosts
// claim one after another in an order that is the same for all (rendezvous
// hashing), so that usually one of them does; the claim itself is a
// compare-and-set, so never two at a time.
//
// Pure. Control thread only.

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "coordination/freshness_marks.h"
#include "coordination/takeover.h"
#include "coordination/takeover_row.h"
#include "state/instant.h"

namespace tanagerspan
{

/// What a host sees of a service's primary.
struct primary_health
{
    std::string endpoint_id_; ///< empty: none is said to lead
    bool listed_ = false;     ///< its entry stands
    bool leaving_ = false;
    bool unreachable_ = false; ///< connections to it are refused or fail
    instant last_answer_ = never;
    instant unanswered_since_ = never; ///< `never`: nothing is awaited
    instant write_unanswered_since_ = never;
    /// Some of the last seconds' marks, the oldest first; only in trouble.
    std::vector<freshness_mark> marks_{};

    bool operator==(const primary_health&) const = default;
};

class takeover_trigger
{
public:
    struct options
    {
        /// Between a crash and its restart connections are refused, too; a
        /// second look rules out one lost race.
        std::int64_t refused_ms_ = 150;
        /// Work of the longest kind with a full queue before it is answered
        /// within this; it is the time for which every statement is silent.
        std::int64_t silent_ms_ = 700;
        /// The same for writes alone, which wait for a replica as well.
        std::int64_t stuck_ms_ = 1200;
        /// No entry says that it leads: longer than a change of roles takes.
        std::int64_t no_primary_ms_ = 2000;
        /// Between the claims of one host and the next in line.
        std::int64_t rank_step_ms_ = 150;
        /// After a change of the row all others wait: a promotion takes about
        /// a second, and its outcome is known through the row.
        std::int64_t settle_ms_ = 1500;
        /// The same where an order may be under way and the holder's lease has
        /// ended: until the next one claims, nobody keeps its proof true.
        std::int64_t loose_settle_ms_ = 50;
        /// A claim that was not brought to an end by then is taken over: the
        /// holder's lease and the time in which its change was seen here.
        std::int64_t abandoned_ms_ = 7500;
    };

    explicit takeover_trigger(options opts) : options_(opts)
    {
    }

    void on_health(const primary_health& health, instant now);
    void on_row(const takeover_row& row, instant now);

    /// The reason to claim now, if there is one. `rank`: this host's place in
    /// the order of claims for the service, from 0.
    std::optional<takeover_reason> check(std::int64_t rank, instant now) const;

    /// Something may become a reason as time passes.
    bool suspicious() const;

private:
    std::optional<takeover_reason> suspicion(std::int64_t delay_ms,
                                             instant now) const;

    options options_;
    primary_health health_;
    instant unreachable_since_ = never;
    instant leaving_since_ = never;
    instant unlisted_since_ = never;
    takeover_row row_;
    instant row_changed_ = never;
};

} // namespace tanagerspan

#endif
