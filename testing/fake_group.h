#ifndef TANAGERSPAN_TESTING_FAKE_GROUP_H
#define TANAGERSPAN_TESTING_FAKE_GROUP_H

// Database group on virtual time: three member_state behind a network that
// delays, loses and duplicates messages and can be partitioned. Nodes are
// named: members "a", "b", "c", proxies "p0", "p1", ...
//
// A `guard` names one rule that the guarantees depend on. Tests disable one
// guard at a time to show that the checks detect its absence.

#include <functional>
#include <memory>
#include <set>
#include <string>
#include <vector>

#include "stand_ins/replication_queue.h"
#include "testing/event_loop.h"

namespace tanagerspan
{

enum class guard
{
    none,
    majority_before_done,     ///< one member's acknowledgement suffices
    fencing_by_term,          ///< members still serve lower terms
    recorded_request_ids,     ///< a retried write runs again
    token_covers_read,        ///< the session token is ignored
    primary_proved_current,   ///< a stale primary counts as current
    unknown_is_no_refusal,    ///< unknown is reported as not run
    no_repeat_without_id,     ///< writes without an id are retried
    replicas_confirm_silence, ///< one proxy's view suffices for suspicion
    highest_position_leads    ///< any promised member may be chosen
};

struct network_options
{
    double one_way_ms_ = 1.0;
    double jitter_ms_ = 0.5;
    double loss_ = 0.0;      ///< share of exchanges, before or after the effect
    double duplicate_ = 0.0; ///< share of idempotent requests
};

class fake_group
{
public:
    static constexpr std::size_t members = 3;

    fake_group(event_loop& loop, network_options network, guard disabled_guard,
               std::int64_t lag_ms);

    void start();

    /// Sends one request: runs `apply` at the member, then calls `reply` once
    /// with its result, or with not_sent (the member is down) or lost (no
    /// response within `timeout_ms`). If `wait_ms` is positive, the member
    /// delays the request until `condition` returns true, at most `wait_ms`.
    template <class Answer>
    void exchange(
        const std::string& from, std::size_t member, std::int64_t timeout_ms,
        bool idempotent, std::function<result<Answer>(member_state&)> apply,
        std::function<void(result<Answer>)> reply, std::int64_t wait_ms = 0,
        const std::function<bool(const member_state&)>& condition = {});

    void kill(std::size_t member);
    void restart(std::size_t member);
    void freeze(std::size_t member, std::int64_t ms);
    /// Cuts or restores the network between two nodes, in both directions.
    void set_cut(const std::string& a, const std::string& b, bool cut);
    bool is_cut(const std::string& a, const std::string& b) const;
    void set_lag(std::size_t member, std::int64_t lag_ms)
    {
        nodes_[member].lag_ms_ = lag_ms;
    }
    void set_leaving(std::size_t member)
    {
        nodes_[member].state_.set_leaving(true);
    }
    void set_network(network_options network)
    {
        network_ = network;
    }
    const network_options& network() const
    {
        return network_;
    }

    static std::string name_of(std::size_t member)
    {
        return std::string(1, static_cast<char>('a' + member));
    }
    const member_state& state(std::size_t member) const
    {
        return nodes_[member].state_;
    }
    /// The primary of the highest term, running or not.
    std::optional<std::size_t> primary() const;
    bool is_running(std::size_t member) const
    {
        return nodes_[member].running_;
    }
    guard disabled_guard() const
    {
        return disabled_;
    }
    /// The time when each term got its primary; ground truth for the checks.
    const std::map<std::uint64_t, instant>& term_started_at() const
    {
        return term_started_at_;
    }
    double delay()
    {
        return network_.one_way_ms_ + loop_.uniform(0, network_.jitter_ms_);
    }

private:
    struct waiter
    {
        std::function<bool(const member_state&)> condition_;
        std::function<void()> resume_;
        std::shared_ptr<bool> done_;
    };
    struct node
    {
        member_state state_;
        replication_queue queue_;
        std::vector<waiter> waiters_;
        std::int64_t lag_ms_ = 0;
        bool running_ = true;
        instant frozen_until_ = never;
        std::size_t pull_source_ = 0;
    };

    void run_at_member(std::size_t member,
                       const std::function<void(node&)>& apply);
    void wake_waiters(std::size_t member);
    void wait_for_condition(std::size_t member, std::int64_t wait_ms,
                            std::function<bool(const member_state&)> condition,
                            const std::function<void()>& resume);
    void pull(std::size_t member);
    void record_primaries();

    event_loop& loop_;
    network_options network_;
    guard disabled_;
    std::vector<node> nodes_;
    std::set<std::pair<std::string, std::string>> cuts_;
    std::map<std::uint64_t, instant> term_started_at_;
};

template <class Answer>
void fake_group::exchange(
    const std::string& from, std::size_t member, std::int64_t timeout_ms,
    bool idempotent, std::function<result<Answer>(member_state&)> apply,
    std::function<void(result<Answer>)> reply, std::int64_t wait_ms,
    const std::function<bool(const member_state&)>& condition)
{
    auto completed = std::make_shared<bool>(false);
    auto complete = [completed, reply](result<Answer> got)
    {
        if (!std::exchange(*completed, true))
            reply(std::move(got));
    };
    std::string to = name_of(member);
    if (!nodes_[member].running_)
    {
        loop_.after(2 * delay(),
                    [complete]
                    {
                        complete(fail(error_code::not_sent));
                    });
        return;
    }
    loop_.after(static_cast<double>(timeout_ms),
                [complete]
                {
                    complete(fail(error_code::lost));
                });
    bool lost = loop_.chance(network_.loss_);
    bool lost_before_effect = lost && loop_.chance(0.5);
    int copies = idempotent && loop_.chance(network_.duplicate_) ? 2 : 1;
    for (int copy = 0; copy < copies && !lost_before_effect; ++copy)
    {
        constexpr double late_copy_ms = 700;
        double travel =
            delay() + (copy == 0 ? 0 : loop_.uniform(0, late_copy_ms));
        loop_.after(
            travel,
            [this, from, to, member, apply, complete, lost, wait_ms, condition]
            {
                if (is_cut(from, to))
                    return;
                auto serve = [this, from, to, member, apply, complete, lost]
                {
                    run_at_member(member,
                                  [=, this](node& target)
                                  {
                                      auto got = apply(target.state_);
                                      record_primaries();
                                      wake_waiters(member);
                                      if (lost)
                                          return;
                                      loop_.after(delay(),
                                                  [=, this]
                                                  {
                                                      if (!is_cut(from, to))
                                                          complete(got);
                                                  });
                                  });
                };
                if (wait_ms > 0)
                    wait_for_condition(member, wait_ms, condition, serve);
                else
                    serve();
            });
    }
}

} // namespace tanagerspan

#endif
