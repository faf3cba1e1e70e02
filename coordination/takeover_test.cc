// Tests of takeover attempts against a group in memory: whichever messages are
// lost or late and whichever endpoints are down, the promoted log contains
// every acknowledged change.

#include <deque>

#include "coordination/group_model_test.h"
#include "coordination/takeover.h"
#include "testing/check.h"

namespace tanagerspan
{
namespace
{

using kind = takeover_action::kind;

class takeover_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(takeover_test);
    CPPUNIT_TEST(a_dead_primary_is_replaced_by_the_furthest_replica);
    CPPUNIT_TEST(a_replica_that_cannot_be_seen_stops_it);
    CPPUNIT_TEST(a_primary_that_answers_is_kept);
    CPPUNIT_TEST(a_primary_that_nobody_hears_is_replaced);
    CPPUNIT_TEST(an_endpoint_that_joins_vouches_for_nothing_lost);
    CPPUNIT_TEST(an_endpoint_that_joins_stops_an_attempt);
    CPPUNIT_TEST(a_leader_is_known_beside_a_hold_of_a_higher_term);
    CPPUNIT_TEST(a_leader_that_appears_ends_the_attempt);
    CPPUNIT_TEST(a_leader_that_appears_releases_the_others);
    CPPUNIT_TEST(a_busy_primary_is_kept);
    CPPUNIT_TEST(an_order_that_may_travel_is_named_again);
    CPPUNIT_TEST(nothing_is_released_while_an_order_may_travel);
    CPPUNIT_TEST(a_paused_holder_orders_nothing);
    CPPUNIT_TEST(no_acknowledged_change_is_lost);
    CPPUNIT_TEST(a_replica_of_an_older_term_is_not_promoted);
    CPPUNIT_TEST(a_hold_ends_with_the_promotion);
    CPPUNIT_TEST(a_primary_that_comes_back_steps_down);
    CPPUNIT_TEST(an_unknown_leader_steps_down_under_an_order);
    CPPUNIT_TEST_SUITE_END();

    struct run_result
    {
        std::optional<std::string> ordered_;
        std::vector<std::string> released_;
        std::string why_;
    };

    /// Runs an attempt to its end. `step` is called between two actions and may
    /// change the group.
    template <class Step>
    static run_result play(group_model& group, takeover_reason reason,
                           Step step,
                           std::optional<std::string> before = std::nullopt)
    {
        run_result out;
        instant now{1000};
        takeover attempt(
            {}, {.reason_ = reason,
                 .primary_id_ = group.leader_,
                 .members_ = {{"p", reason == takeover_reason::leaving},
                              {"a"},
                              {"b"}},
                 .pending_ = {.ordered_ = std::move(before)},
                 .claimed_at_ = now});
        std::deque<takeover_action> todo;
        auto add = [&todo](const std::vector<takeover_action>& more)
        {
            todo.insert(todo.end(), more.begin(), more.end());
        };
        add(attempt.start(now));
        for (int i = 0; i < 2000 && !attempt.finished(); ++i)
        {
            step(group);
            if (todo.empty())
            {
                now = now + 10;
                add(attempt.tick(now));
                continue;
            }
            takeover_action next = todo.front();
            todo.pop_front();
            const std::string& id = next.endpoint_id_;
            if (next.kind_ == kind::pause)
                group.hold(id, next.term_);
            if (next.kind_ == kind::step_down)
                group.step_down(id, next.term_);
            if (next.kind_ == kind::pause || next.kind_ == kind::ask_status ||
                next.kind_ == kind::step_down)
                add(attempt.on_status(id, group.status(id), now));
            if (next.kind_ == kind::record_target)
                add(attempt.on_target_recorded(true, now));
            if (next.kind_ == kind::record_end)
                add(attempt.on_end_recorded(true, now));
            if (next.kind_ == kind::resume)
            {
                out.released_.push_back(id);
                group.release(id);
                add(attempt.on_status(id, group.status(id), now));
            }
            if (next.kind_ == kind::finish)
                out.why_ = next.detail_;
            if (next.kind_ == kind::order)
            {
                out.ordered_ = id;
                step(group);
                group.promote(id);
                add(attempt.on_ordered(takeover::order_outcome::done, now));
            }
        }
        for (const auto& left : todo)
        {
            if (left.kind_ == kind::finish)
                out.why_ = left.detail_;
        }
        return out;
    }

    /// An attempt that has sent its first status questions, at 0 ms.
    static takeover started(takeover_reason reason,
                            std::vector<takeover_member> members,
                            pending_commands left = {})
    {
        takeover attempt({}, {.reason_ = reason,
                              .primary_id_ = "p",
                              .members_ = std::move(members),
                              .pending_ = std::move(left),
                              .claimed_at_ = instant{0}});
        attempt.start(instant{0});
        return attempt;
    }

    static endpoint_status replica_status(std::uint64_t held_term = 0)
    {
        return {.term_ = 1, .received_ = {1, 5}, .paused_by_term_ = held_term};
    }

    /// "p" does not answer; "a" and "b" answer at 1 ms and confirm their pause
    /// at 2 ms.
    static void hold_both(takeover& attempt)
    {
        attempt.on_status("p", std::nullopt, instant{1});
        attempt.on_status("a", replica_status(), instant{1});
        attempt.on_status("b", replica_status(), instant{1});
        attempt.on_status("a", replica_status(2), instant{2});
        attempt.on_status("b", replica_status(2), instant{2});
    }

    static void quiet(group_model&)
    {
    }

    /// Records the end that `actions` ask for and answers the resume commands.
    /// Returns all actions but record_end, up to the last one.
    static std::vector<takeover_action>
    bring_to_end(takeover& attempt, std::vector<takeover_action> actions,
                 instant now = instant{3})
    {
        for (std::size_t i = 0; i < actions.size(); ++i)
        {
            std::vector<takeover_action> more;
            if (actions[i].kind_ == kind::record_end)
                more = attempt.on_end_recorded(true, now);
            if (actions[i].kind_ == kind::resume)
                more = attempt.on_status(actions[i].endpoint_id_,
                                         endpoint_status{}, now);
            actions.insert(actions.end(), more.begin(), more.end());
        }
        CPPUNIT_ASSERT(attempt.finished());
        std::erase_if(actions,
                      [](const takeover_action& one)
                      {
                          return one.kind_ == kind::record_end;
                      });
        return actions;
    }

    void a_dead_primary_is_replaced_by_the_furthest_replica()
    {
        group_model group;
        group.commit("b");
        group.of("p").alive_ = false;
        auto got = play(group, takeover_reason::silent, quiet);
        CPPUNIT_ASSERT(got.ordered_ == "b");
    }

    void a_replica_that_cannot_be_seen_stops_it()
    {
        group_model group;
        group.commit("b");
        group.of("p").alive_ = false;
        group.of("b").alive_ = false;
        auto got = play(group, takeover_reason::silent, quiet);
        CPPUNIT_ASSERT(!got.ordered_);
        CPPUNIT_ASSERT(!group.of("a").held_);
    }

    void a_primary_that_answers_is_kept()
    {
        for (auto reason : {takeover_reason::silent, takeover_reason::stuck,
                            takeover_reason::unfinished})
        {
            group_model group;
            auto got = play(group, reason,
                            [](group_model& at)
                            {
                                at.commit("a");
                            });
            CPPUNIT_ASSERT(!got.ordered_);
            CPPUNIT_ASSERT_EQUAL(std::string("p"), group.leader_);
        }
    }

    // Regression: a primary that was cut off from its replicas was kept for
    // seconds, because it answered the host.
    void a_primary_that_nobody_hears_is_replaced()
    {
        for (auto reason : {takeover_reason::silent, takeover_reason::stuck})
        {
            group_model group;
            group.of("a").receives_ = group.of("b").receives_ = false;
            group.commit("a");
            auto got = play(group, reason, quiet);
            CPPUNIT_ASSERT(got.ordered_.has_value());
        }
    }

    // Regression: all known replicas of a primary were paused, and a new
    // replica confirmed a change just before one of the others was promoted.
    void an_endpoint_that_joins_vouches_for_nothing_lost()
    {
        group_model group;
        group.of("a").receives_ = group.of("b").receives_ = false;
        group.commit("a"); // no replica confirms it
        bool held = false;
        auto got = play(group, takeover_reason::stuck,
                        [&held](group_model& at)
                        {
                            held = held || at.of("a").held_;
                            if (held)
                                at.commit("n");
                        });
        CPPUNIT_ASSERT(got.ordered_.has_value());
        CPPUNIT_ASSERT(group.of(group.leader_).log_ >= group.acknowledged_);
    }

    void an_endpoint_that_joins_stops_an_attempt()
    {
        takeover attempt =
            started(takeover_reason::silent, {{"p"}, {"a"}, {"b"}});
        attempt.on_joined("n", instant{1});
        CPPUNIT_ASSERT(attempt.finished());
    }

    // Regression: a pause that took effect late named a higher term than the
    // primary's, so that the primary was mistaken for a replica and replaced.
    void a_leader_is_known_beside_a_hold_of_a_higher_term()
    {
        takeover attempt =
            started(takeover_reason::leaving, {{"p", true}, {"a"}, {"b"}});
        endpoint_status leads{
            .primary_ = true, .term_ = 4, .received_ = {4, 9}};
        endpoint_status behind{
            .term_ = 1, .received_ = {1, 5}, .paused_by_term_ = 5};
        attempt.on_status("p", std::nullopt, instant{1});
        attempt.on_status("a", leads, instant{1});
        auto last =
            bring_to_end(attempt, attempt.on_status("b", behind, instant{1}));
        CPPUNIT_ASSERT_EQUAL(std::string("a"), last.back().endpoint_id_);
    }

    void a_leader_that_appears_ends_the_attempt()
    {
        takeover attempt =
            started(takeover_reason::silent, {{"p"}, {"a"}, {"b"}});
        endpoint_status free{.term_ = 1, .received_ = {1, 5}};
        attempt.on_status("p", std::nullopt, instant{1});
        attempt.on_status("a", free, instant{1});
        attempt.on_status("b", free, instant{1});
        free.primary_ = true;
        auto last =
            bring_to_end(attempt, attempt.on_status("b", free, instant{2}));
        CPPUNIT_ASSERT_EQUAL(std::string("b"), last.back().endpoint_id_);
    }

    // Regression: a replica that this or an earlier attempt had paused stayed
    // paused, and received and confirmed nothing until the next takeover.
    void a_leader_that_appears_releases_the_others()
    {
        endpoint_status held{
            .term_ = 2, .received_ = {1, 5}, .paused_by_term_ = 2};
        endpoint_status leads{
            .primary_ = true, .term_ = 2, .received_ = {2, 6}};
        for (bool before_holding : {true, false})
        {
            takeover attempt =
                started(takeover_reason::silent, {{"p"}, {"a"}, {"b"}});
            attempt.on_status("p", std::nullopt, instant{1});
            if (!before_holding)
            {
                endpoint_status free{.term_ = 1, .received_ = {1, 5}};
                attempt.on_status("a", free, instant{1});
                attempt.on_status("b", free, instant{1});
            }
            attempt.on_status("a", held, instant{2});
            auto last = bring_to_end(attempt,
                                     attempt.on_status("b", leads, instant{2}));
            CPPUNIT_ASSERT_EQUAL(std::size_t{2}, last.size());
            CPPUNIT_ASSERT(last.front().kind_ == kind::resume);
            CPPUNIT_ASSERT_EQUAL(std::string("a"), last.front().endpoint_id_);
            CPPUNIT_ASSERT_EQUAL(std::string("b"), last.back().endpoint_id_);
        }
    }

    // Regression: members with no free connection were taken for crashed, and
    // the pauses named a term that was too low.
    void a_busy_primary_is_kept()
    {
        takeover attempt =
            started(takeover_reason::stuck, {{"p"}, {"a"}, {"b"}});
        attempt.on_refused("p", instant{5});
        endpoint_status replica{.term_ = 3, .received_ = {3, 5}};
        attempt.on_status("a", replica, instant{5});
        attempt.on_status("b", replica, instant{5});
        CPPUNIT_ASSERT(attempt.finished());
    }

    void an_order_that_may_travel_is_named_again()
    {
        group_model group;
        group.of("p").alive_ = false;
        auto got = play(group, takeover_reason::unfinished, quiet, "b");
        CPPUNIT_ASSERT(got.ordered_ == "b");
        group_model alive;
        got = play(alive, takeover_reason::unfinished, quiet, "b");
        CPPUNIT_ASSERT(got.ordered_ == "b");
        group_model other;
        other.commit("a");
        other.of("p").alive_ = false;
        got = play(other, takeover_reason::unfinished, quiet, "b");
        CPPUNIT_ASSERT(!got.ordered_);
    }

    void nothing_is_released_while_an_order_may_travel()
    {
        takeover attempt =
            started(takeover_reason::silent, {{"p"}, {"a"}, {"b"}});
        hold_both(attempt);
        attempt.on_target_recorded(true, instant{3});
        attempt.on_ordered(takeover::order_outcome::unknown, instant{4});
        for (const auto& action : attempt.tick(instant{60'000}))
            CPPUNIT_ASSERT(action.kind_ == kind::finish);
        CPPUNIT_ASSERT(attempt.finished());
    }

    void a_paused_holder_orders_nothing()
    {
        takeover attempt =
            started(takeover_reason::silent, {{"p"}, {"a"}, {"b"}});
        hold_both(attempt);
        for (const auto& action : bring_to_end(
                 attempt, attempt.on_target_recorded(true, instant{9000}),
                 instant{9001}))
            CPPUNIT_ASSERT(action.kind_ != kind::order);
    }

    void no_acknowledged_change_is_lost()
    {
        CHECK_PROPERTY(
            "promoted log",
            []
            {
                group_model group;
                auto reason = *rc::gen::element(
                    takeover_reason::leaving, takeover_reason::silent,
                    takeover_reason::stuck, takeover_reason::unfinished,
                    takeover_reason::no_primary);
                if (*rc::gen::arbitrary<bool>())
                    group.of("a").receives_ = false;
                auto events = *rc::gen::container<std::vector<int>>(
                    rc::gen::inRange(0, 12));
                std::size_t at = 0;
                bool lost = false;
                auto got =
                    play(group, reason,
                         [&](group_model& now)
                         {
                             int event = at < events.size() ? events[at++] : 11;
                             if (event <= 3)
                                 now.commit("a");
                             else if (event <= 7)
                                 now.commit("b");
                             else if (event == 8)
                                 now.of("p").alive_ = false;
                             else if (event == 9)
                                 now.of("a").alive_ = !now.of("a").alive_;
                             else if (event == 10)
                                 now.of("b").receives_ = !now.of("b").receives_;
                             lost = lost || (!now.leader_.empty() &&
                                             now.of(now.leader_).log_ <
                                                 now.acknowledged_);
                         });
                RC_ASSERT(!lost);
                RC_ASSERT(
                    !(group.of(group.leader_).log_ < group.acknowledged_));
            });
    }

    // Regression: a replica two terms behind, paused by an earlier attempt, was
    // promoted instead of the primary that had stepped down, because the third
    // endpoint did not answer and only replicas were compared.
    void a_replica_of_an_older_term_is_not_promoted()
    {
        takeover attempt({}, {.reason_ = takeover_reason::stuck,
                              .primary_id_ = "p",
                              .members_ = {{"p"}, {"b"}},
                              .claimed_at_ = instant{0}});
        endpoint_status leads{
            .primary_ = true, .term_ = 3, .received_ = {3, 209}};
        endpoint_status behind{
            .term_ = 1, .received_ = {1, 119}, .paused_by_term_ = 4};
        instant now{0};
        auto actions = attempt.start(now);
        for (int i = 0; i < 1000 && !attempt.finished(); ++i)
        {
            std::vector<takeover_action> next;
            auto add = [&next](const std::vector<takeover_action>& more)
            {
                next.insert(next.end(), more.begin(), more.end());
            };
            for (const auto& action : actions)
            {
                CPPUNIT_ASSERT(action.kind_ != kind::order ||
                               action.endpoint_id_ != "b");
                if (action.kind_ == kind::step_down)
                    leads = {.term_ = 3, .received_ = {3, 212}};
                if (action.kind_ == kind::pause && action.endpoint_id_ == "b")
                    behind.paused_by_term_ = action.term_;
                if (action.kind_ == kind::resume)
                    behind.paused_by_term_ = 0;
                if (action.kind_ == kind::record_target)
                    add(attempt.on_target_recorded(true, now));
                else if (action.kind_ == kind::record_end)
                    add(attempt.on_end_recorded(true, now));
                else if (!action.endpoint_id_.empty())
                    add(attempt.on_status(
                        action.endpoint_id_,
                        action.endpoint_id_ == "p" ? leads : behind, now));
            }
            now = now + 10;
            add(attempt.tick(now));
            actions = std::move(next);
        }
        CPPUNIT_ASSERT(attempt.finished());
        CPPUNIT_ASSERT(leads.primary_);
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{0}, behind.paused_by_term_);
    }

    // Regression: a pause of an earlier attempt made this one name a later
    // term, so that the promotion did not end the pauses and a replica stayed
    // paused.
    void a_hold_ends_with_the_promotion()
    {
        takeover attempt =
            started(takeover_reason::silent, {{"p"}, {"a"}, {"b"}});
        endpoint_status free{.term_ = 1, .received_ = {1, 5}};
        endpoint_status held{
            .term_ = 1, .received_ = {1, 5}, .paused_by_term_ = 2};
        attempt.on_status("p", std::nullopt, instant{1});
        attempt.on_status("a", held, instant{1});
        auto holds = attempt.on_status("b", free, instant{1});
        CPPUNIT_ASSERT_EQUAL(std::size_t{2}, holds.size());
        for (const auto& action : holds)
        {
            CPPUNIT_ASSERT(action.kind_ == kind::pause);
            CPPUNIT_ASSERT_EQUAL(std::uint64_t{2}, action.term_);
        }
    }

    // Regression: a crashed primary came back under another id while the order
    // was pending, and a replica that joined confirmed its changes.
    void a_primary_that_comes_back_steps_down()
    {
        takeover attempt =
            started(takeover_reason::silent, {{"p"}, {"a"}, {"b"}});
        hold_both(attempt);
        attempt.on_target_recorded(true, instant{3});
        attempt.on_ordered(takeover::order_outcome::unknown, instant{4});
        auto joined = attempt.on_joined("q", instant{10});
        CPPUNIT_ASSERT(joined.at(0).kind_ == kind::pause);
        endpoint_status leads{
            .primary_ = true, .term_ = 1, .received_ = {1, 5}};
        auto got = attempt.on_status("q", leads, instant{11});
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, got.size());
        CPPUNIT_ASSERT(got[0].kind_ == kind::step_down);
        CPPUNIT_ASSERT_EQUAL(std::string("q"), got[0].endpoint_id_);
        // The command is repeated until the step down is confirmed.
        bool again = false;
        for (const auto& action : attempt.tick(instant{400}))
            again = again || action.kind_ == kind::step_down;
        CPPUNIT_ASSERT(again);
    }

    // The primary came back under an id that this host did not know as the
    // primary's.
    void an_unknown_leader_steps_down_under_an_order()
    {
        takeover attempt = started(takeover_reason::unfinished,
                                   {{"p"}, {"a"}, {"q"}}, {.ordered_ = "a"});
        endpoint_status held{
            .term_ = 1, .received_ = {1, 5}, .paused_by_term_ = 2};
        endpoint_status leads{
            .primary_ = true, .term_ = 1, .received_ = {1, 5}};
        attempt.on_status("p", std::nullopt, instant{1});
        attempt.on_status("a", held, instant{1});
        auto got = attempt.on_status("q", leads, instant{1});
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, got.size());
        CPPUNIT_ASSERT(got[0].kind_ == kind::step_down);
        CPPUNIT_ASSERT_EQUAL(std::string("q"), got[0].endpoint_id_);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(takeover_test);

} // namespace
} // namespace tanagerspan
