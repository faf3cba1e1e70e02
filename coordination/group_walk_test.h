#ifndef TANAGERSPAN_COORDINATION_GROUP_WALK_TEST_H
#define TANAGERSPAN_COORDINATION_GROUP_WALK_TEST_H

// A random walk over a group of endpoints, the row of its takeovers and hosts
// that carry takeovers out.
//
// The scheduler picks one thing at a time: a question is carried out or
// answered, an order without an answer arrives seconds late, a host claims,
// freezes or dies, an endpoint crashes, starts anew, is cut off, joins or
// leaves, a change is written, time passes. What holds at each step is that
// an endpoint that comes to lead has each acknowledged change in its log.
//
// The decisions under test are the real ones: `takeover`, `takeover_row` and
// `departed_endpoints`.

#include <deque>
#include <memory>
#include <optional>
#include <random>
#include <string>
#include <vector>

#include "coordination/departed_endpoints.h"
#include "coordination/takeover.h"

namespace tanagerspan
{

/// What a walk may do; each is a cause of its own.
struct walk_options
{
    int steps_ = 400;
    bool late_orders_ = true;     ///< to endpoints
    bool late_promotions_ = true; ///< calls of the platform
    bool crashes_ = true;
    bool cuts_ = true;
    bool membership_ = true; ///< joins, leaves, lapsed entries
    bool hosts_fail_ = true;
    bool lost_rows_ = true;
    /// An endpoint that the holder does not know may join, and one that was
    /// held may start anew, while an order is on its way to take effect.
    bool changes_while_ordered_ = false;
};

class group_walk
{
public:
    group_walk(std::uint64_t seed, walk_options opts);

    /// Runs the walk; true if no acknowledged change was lost.
    bool run();

    /// What happened, one line a step; only kept where asked for.
    std::vector<std::string> trace_;
    bool keep_trace_ = false;
    int promotions_ = 0;
    int acknowledged_ = 0;

private:
    using kind = takeover_action::kind;
    static constexpr int nobody = -1;
    static constexpr std::size_t hosts_count = 2;

    struct member
    {
        std::string id_;
        std::vector<log_position> log_;
        std::uint64_t known_term_ = 1;
        std::uint64_t held_term_ = 0;
        bool alive_ = true;
        bool answers_ = true;  ///< to hosts
        bool receives_ = true; ///< from the primary
        bool listed_ = true;
        instant unlisted_since_ = never;
        instant crashed_ = never;
        bool leaving_ = false;
        bool gone_ = false; ///< for good, with its log
    };
    struct question
    {
        std::size_t host_ = 0;
        std::int64_t attempt_ = 0; ///< which of the host's
        takeover_action action_;
        std::int64_t token_ = 0;
        instant asked_ = never;
        bool done_ = false;    ///< carried out, its answer is on the way
        bool answered_ = true; ///< false: the answer is lost
        std::optional<endpoint_status> status_{};
        bool recorded_ = false;
        takeover::order_outcome outcome_ = takeover::order_outcome::done;
        takeover_row row_{};
        std::int64_t row_version_ = 0;
    };
    struct late_order
    {
        instant due_ = never;
        takeover_action action_;
        std::int64_t token_ = 0;
    };
    struct promotion
    {
        instant due_ = never;
        int target_ = nobody;
    };
    struct host
    {
        std::string name_;
        bool frozen_ = false;
        departed_endpoints departed_{{}};
        std::vector<endpoint_entry> listed_;
        std::vector<freshness_mark> marks_;
        std::unique_ptr<takeover> attempt_;
        std::int64_t attempt_number_ = 0;
        instant claimed_at_ = never;
        takeover_row row_; ///< as this host knows it
        std::int64_t row_version_ = 0;
        instant row_seen_ = never;
        std::int64_t token_ = 0;
    };

    bool chance(int percent);
    std::size_t pick(std::size_t count);
    void note(const std::string& text);

    void step();
    void pass_time();
    instant next_arrival() const;
    void arrive();
    void change_group();
    void write();
    void replicate(std::size_t at);
    void acknowledge();
    void crash(std::size_t at);
    void restart(std::size_t at);
    void join();
    void change_hosts();

    bool order_on_its_way() const;
    int member_of(const std::string& id) const;
    endpoint_status status_of(const member& one) const;
    void carry_out(const takeover_action& action);
    takeover::order_outcome call_platform(const takeover_action& action,
                                          std::int64_t token);
    void promote(int target);

    void see(host& at);
    void see_endpoints(host& at);
    void claim(host& at);
    void perform(host& at, const std::vector<takeover_action>& actions);
    void carry_out_question(question& one);
    void deliver(std::size_t index);
    void carry_out_row(question& one);

    std::mt19937_64 random_;
    walk_options options_;
    instant now_{100'000};
    std::vector<member> members_;
    int leader_ = nobody;
    int last_leader_ = 0;
    std::uint64_t term_ = 1;
    std::vector<log_position> acked_;
    std::int64_t token_seen_ = 0;
    std::deque<question> questions_;
    std::vector<late_order> late_;
    std::vector<promotion> promotions_due_;
    std::vector<host> hosts_;
    takeover_row row_;
    std::int64_t row_version_ = 1;
    instant row_changed_ = never;
    bool lost_ = false;
    int joined_ = 0;
};

} // namespace tanagerspan

#endif
