// Tests of takeover attempts against a group in memory: whichever messages are
// lost or late and whichever endpoints are down, the promoted log contains
// every acknowledged change.

#include "coordination/takeover_run_test.h"
#include "testing/check.h"

namespace tanagerspan
{
namespace
{

using kind = takeover_action::kind;

class takeover_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(takeover_test);
    CPPUNIT_TEST(crashed_primary_is_replaced_by_longest_log);
    CPPUNIT_TEST(no_promotion_while_a_replica_does_not_answer);
    CPPUNIT_TEST(leaving_primary_is_replaced_beside_a_silent_replica);
    CPPUNIT_TEST(replica_behind_a_leaving_primary_is_not_promoted);
    CPPUNIT_TEST(answering_primary_is_kept);
    CPPUNIT_TEST(primary_without_receiving_replicas_is_replaced);
    CPPUNIT_TEST(primary_that_nobody_can_replace_is_kept);
    CPPUNIT_TEST(primary_leads_again_if_a_replica_stays_silent);
    CPPUNIT_TEST(joining_endpoint_confirms_no_lost_change);
    CPPUNIT_TEST(primary_is_found_despite_pause_of_higher_term);
    CPPUNIT_TEST(new_primary_ends_attempt);
    CPPUNIT_TEST(new_primary_resumes_other_replicas);
    CPPUNIT_TEST(busy_primary_is_kept);
    CPPUNIT_TEST(pending_order_is_repeated_for_its_target);
    CPPUNIT_TEST(no_replica_is_resumed_while_order_is_pending);
    CPPUNIT_TEST(only_a_resume_without_an_answer_stays_pending);
    CPPUNIT_TEST(suspended_holder_sends_no_order);
    CPPUNIT_TEST(no_acknowledged_change_is_lost);
    CPPUNIT_TEST(replica_of_older_term_is_not_promoted);
    CPPUNIT_TEST(promotion_ends_pauses);
    CPPUNIT_TEST(returned_primary_steps_down);
    CPPUNIT_TEST(unknown_primary_steps_down_while_order_is_pending);
    CPPUNIT_TEST_SUITE_END();

    /// An attempt that has sent its first status statements, at 0 ms.
    static takeover started(takeover_reason reason,
                            std::vector<takeover_member> members,
                            pending_commands remaining = {})
    {
        takeover attempt({}, {.reason_ = reason,
                              .primary_id_ = "p",
                              .members_ = std::move(members),
                              .pending_ = std::move(remaining),
                              .claimed_at_ = instant{0}});
        attempt.start(instant{0});
        return attempt;
    }

    static endpoint_status replica_status(std::uint64_t paused_by_term = 0)
    {
        return {
            .term_ = 1, .received_ = {1, 5}, .paused_by_term_ = paused_by_term};
    }

    /// "p" does not answer; "a" and "b" answer at 1 ms and confirm their pause
    /// at 2 ms.
    static void pause_both_replicas(takeover& attempt)
    {
        attempt.on_status("p", std::nullopt, instant{1});
        attempt.on_status("a", replica_status(), instant{1});
        attempt.on_status("b", replica_status(), instant{1});
        attempt.on_members_listed(instant{2}, instant{2});
        attempt.on_status("a", replica_status(2), instant{2});
        attempt.on_status("b", replica_status(2), instant{2});
    }

    static void no_events(group_model&)
    {
    }

    /// Records the end that `actions` ask for and answers the resume commands.
    /// Returns all actions but record_end, up to the last one.
    static std::vector<takeover_action>
    complete_attempt(takeover& attempt, std::vector<takeover_action> actions,
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

    void crashed_primary_is_replaced_by_longest_log()
    {
        group_model group;
        group.commit("b");
        group.find("p").running_ = false;
        auto run = run_attempt(group, takeover_reason::silent, no_events);
        CPPUNIT_ASSERT(run.ordered_ == "b");
    }

    void no_promotion_while_a_replica_does_not_answer()
    {
        group_model group;
        group.commit("b");
        group.find("p").running_ = false;
        group.find("b").running_ = false;
        auto run = run_attempt(group, takeover_reason::silent, no_events);
        CPPUNIT_ASSERT(!run.ordered_);
        CPPUNIT_ASSERT(!group.find("a").paused_);
    }

    // Regression: an attempt that had stepped the primary down waited for the
    // pause of a replica that was gone, while the service had no primary.
    void leaving_primary_is_replaced_beside_a_silent_replica()
    {
        group_model group;
        group.commit("a");
        group.find("b").running_ = false;
        auto run = run_attempt(group, takeover_reason::leaving, no_events);
        CPPUNIT_ASSERT(run.ordered_ == "a");
        CPPUNIT_ASSERT(group.find("a").log_ >= group.acknowledged_);
    }

    // The change is in the logs of the primary and the silent replica only.
    void replica_behind_a_leaving_primary_is_not_promoted()
    {
        group_model group;
        group.commit("b");
        group.find("a").receives_ = false;
        group.find("b").running_ = false;
        auto run = run_attempt(group, takeover_reason::leaving, no_events);
        CPPUNIT_ASSERT(!run.ordered_);
    }

    void answering_primary_is_kept()
    {
        for (auto reason : {takeover_reason::silent, takeover_reason::stuck,
                            takeover_reason::unfinished})
        {
            group_model group;
            auto run = run_attempt(group, reason,
                                   [](group_model& model)
                                   {
                                       model.commit("a");
                                   });
            CPPUNIT_ASSERT(!run.ordered_);
            CPPUNIT_ASSERT_EQUAL(std::string("p"), group.primary_);
        }
    }

    // Regression: a primary that was cut off from its replicas was kept for
    // seconds, because it answered the host.
    void primary_without_receiving_replicas_is_replaced()
    {
        for (auto reason : {takeover_reason::silent, takeover_reason::stuck})
        {
            group_model group;
            group.find("a").receives_ = group.find("b").receives_ = false;
            group.commit("a");
            auto run = run_attempt(group, reason, no_events);
            CPPUNIT_ASSERT(run.ordered_.has_value());
        }
    }

    // Guards against a service that stays without a primary (RECOVER): a
    // working primary stepped down, although nobody could be promoted.
    void primary_that_nobody_can_replace_is_kept()
    {
        group_model group;
        group.commit("b");
        group.find("a").receives_ = false;
        group.find("b").running_ = false;
        group.commit("a");
        auto run = run_attempt(group, takeover_reason::stuck, no_events);
        CPPUNIT_ASSERT(!run.ordered_);
        CPPUNIT_ASSERT_EQUAL(std::string("p"), group.primary_);
        CPPUNIT_ASSERT(!group.find("a").paused_);
    }

    // The replica stopped between the decision and the step down.
    void primary_leads_again_if_a_replica_stays_silent()
    {
        group_model group;
        group.find("a").receives_ = group.find("b").receives_ = false;
        group.commit("a");
        auto run = run_attempt(group, takeover_reason::stuck,
                               [](group_model& model)
                               {
                                   if (model.primary_.empty())
                                       model.find("b").running_ = false;
                               });
        CPPUNIT_ASSERT(run.ordered_ == "p");
        CPPUNIT_ASSERT_EQUAL(std::string("p"), group.primary_);
    }

    // Regression: all known replicas of a primary were paused, but a replica
    // that had just joined confirmed a change. One of the paused replicas,
    // which lacked that change, was then promoted.
    void joining_endpoint_confirms_no_lost_change()
    {
        group_model group;
        group.find("a").receives_ = group.find("b").receives_ = false;
        group.commit("a"); // no replica confirms it
        bool replica_paused = false;
        auto run = run_attempt(group, takeover_reason::stuck,
                               [&replica_paused](group_model& model)
                               {
                                   replica_paused = replica_paused ||
                                                    model.find("a").paused_;
                                   if (replica_paused)
                                       model.commit("n");
                               });
        CPPUNIT_ASSERT(run.ordered_.has_value());
        CPPUNIT_ASSERT(group.find(group.primary_).log_ >= group.acknowledged_);
    }

    // Regression: a pause that took effect late named a higher term than the
    // primary's, so that the primary was mistaken for a replica and replaced.
    void primary_is_found_despite_pause_of_higher_term()
    {
        takeover attempt =
            started(takeover_reason::leaving, {{"p", true}, {"a"}, {"b"}});
        endpoint_status primary_status{
            .primary_ = true, .term_ = 4, .received_ = {4, 9}};
        endpoint_status outdated_status{
            .term_ = 1, .received_ = {1, 5}, .paused_by_term_ = 5};
        attempt.on_status("p", std::nullopt, instant{1});
        attempt.on_status("a", primary_status, instant{1});
        auto last = complete_attempt(
            attempt, attempt.on_status("b", outdated_status, instant{1}));
        CPPUNIT_ASSERT_EQUAL(std::string("a"), last.back().endpoint_id_);
    }

    void new_primary_ends_attempt()
    {
        takeover attempt =
            started(takeover_reason::silent, {{"p"}, {"a"}, {"b"}});
        endpoint_status unpaused_status{.term_ = 1, .received_ = {1, 5}};
        attempt.on_status("p", std::nullopt, instant{1});
        attempt.on_status("a", unpaused_status, instant{1});
        attempt.on_status("b", unpaused_status, instant{1});
        unpaused_status.primary_ = true;
        auto last = complete_attempt(
            attempt, attempt.on_status("b", unpaused_status, instant{2}));
        CPPUNIT_ASSERT_EQUAL(std::string("b"), last.back().endpoint_id_);
    }

    // Regression: a replica that this or an earlier attempt had paused stayed
    // paused, and received and confirmed nothing until the next takeover.
    void new_primary_resumes_other_replicas()
    {
        endpoint_status paused_status{
            .term_ = 2, .received_ = {1, 5}, .paused_by_term_ = 2};
        endpoint_status primary_status{
            .primary_ = true, .term_ = 2, .received_ = {2, 6}};
        for (bool before_pausing : {true, false})
        {
            takeover attempt =
                started(takeover_reason::silent, {{"p"}, {"a"}, {"b"}});
            attempt.on_status("p", std::nullopt, instant{1});
            if (!before_pausing)
            {
                endpoint_status unpaused_status{.term_ = 1,
                                                .received_ = {1, 5}};
                attempt.on_status("a", unpaused_status, instant{1});
                attempt.on_status("b", unpaused_status, instant{1});
            }
            attempt.on_status("a", paused_status, instant{2});
            auto last = complete_attempt(
                attempt, attempt.on_status("b", primary_status, instant{2}));
            CPPUNIT_ASSERT_EQUAL(std::size_t{2}, last.size());
            CPPUNIT_ASSERT(last.front().kind_ == kind::resume);
            CPPUNIT_ASSERT_EQUAL(std::string("a"), last.front().endpoint_id_);
            CPPUNIT_ASSERT_EQUAL(std::string("b"), last.back().endpoint_id_);
        }
    }

    // Regression: members with no free connection were taken for crashed, and
    // the pauses named a term that was too low.
    void busy_primary_is_kept()
    {
        takeover attempt =
            started(takeover_reason::stuck, {{"p"}, {"a"}, {"b"}});
        attempt.on_refused("p", instant{5});
        endpoint_status replica{.term_ = 3, .received_ = {3, 5}};
        attempt.on_status("a", replica, instant{5});
        attempt.on_status("b", replica, instant{5});
        CPPUNIT_ASSERT(attempt.finished());
    }

    void pending_order_is_repeated_for_its_target()
    {
        group_model group;
        group.find("p").running_ = false;
        auto run =
            run_attempt(group, takeover_reason::unfinished, no_events, "b");
        CPPUNIT_ASSERT(run.ordered_ == "b");
        group_model group_with_primary;
        run = run_attempt(group_with_primary, takeover_reason::unfinished,
                          no_events, "b");
        CPPUNIT_ASSERT(run.ordered_ == "b");
        group_model other;
        other.commit("a");
        other.find("p").running_ = false;
        run = run_attempt(other, takeover_reason::unfinished, no_events, "b");
        CPPUNIT_ASSERT(!run.ordered_);
    }

    // Guards against a service that stays without a primary (RECOVER): the
    // resume of an endpoint that had left got no answer, and for 14 seconds no
    // pause of any replica counted.
    void only_a_resume_without_an_answer_stays_pending()
    {
        takeover attempt =
            started(takeover_reason::silent, {{"p"}, {"a"}, {"b"}});
        pause_both_replicas(attempt);
        attempt.on_target_recorded(false, instant{3});
        attempt.on_end_recorded(true, instant{4});
        attempt.on_status("a", replica_status(0), instant{5});
        attempt.on_status("b", std::nullopt, instant{300});
        auto last = attempt.tick(instant{1100});
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, last.size());
        CPPUNIT_ASSERT(last[0].kind_ == kind::finish && !last[0].keep_row_);
        auto pending = attempt.pending_at(instant{1100}).resumed_;
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, pending.size());
        CPPUNIT_ASSERT_EQUAL(std::string("b"), pending[0]);
    }

    void no_replica_is_resumed_while_order_is_pending()
    {
        takeover attempt =
            started(takeover_reason::silent, {{"p"}, {"a"}, {"b"}});
        pause_both_replicas(attempt);
        attempt.on_target_recorded(true, instant{3});
        attempt.on_members_listed(instant{3}, instant{3});
        attempt.on_ordered(takeover::order_outcome::unknown, instant{4});
        for (const auto& action : attempt.tick(instant{60'000}))
            CPPUNIT_ASSERT(action.kind_ == kind::finish);
        CPPUNIT_ASSERT(attempt.finished());
    }

    void suspended_holder_sends_no_order()
    {
        takeover attempt =
            started(takeover_reason::silent, {{"p"}, {"a"}, {"b"}});
        pause_both_replicas(attempt);
        for (const auto& action : complete_attempt(
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
                    group.find("a").receives_ = false;
                auto events = *rc::gen::container<std::vector<int>>(
                    rc::gen::inRange(0, 12));
                std::size_t next_event = 0;
                bool lost = false;
                auto run = run_attempt(
                    group, reason,
                    [&](group_model& model)
                    {
                        int event = next_event < events.size()
                                        ? events[next_event++]
                                        : 11;
                        if (event <= 3)
                            model.commit("a");
                        else if (event <= 7)
                            model.commit("b");
                        else if (event == 8)
                            model.find("p").running_ = false;
                        else if (event == 9)
                            model.find("a").running_ =
                                !model.find("a").running_;
                        else if (event == 10)
                            model.find("b").receives_ =
                                !model.find("b").receives_;
                        lost = lost || (!model.primary_.empty() &&
                                        model.find(model.primary_).log_ <
                                            model.acknowledged_);
                    });
                RC_ASSERT(!lost);
                // Without a primary the takeover has not chosen a log yet, and
                // some endpoint must still have the acknowledged changes.
                bool kept = group.primary_.empty()
                                ? std::any_of(group.members_.begin(),
                                              group.members_.end(),
                                              [&](const auto& one)
                                              {
                                                  return one.log_ >=
                                                         group.acknowledged_;
                                              })
                                : group.find(group.primary_).log_ >=
                                      group.acknowledged_;
                RC_ASSERT(kept);
            });
    }

    // Regression: a replica two terms behind, paused by an earlier attempt, was
    // promoted instead of the primary that had stepped down, because the third
    // endpoint did not answer and only replicas were compared.
    void replica_of_older_term_is_not_promoted()
    {
        takeover attempt({}, {.reason_ = takeover_reason::stuck,
                              .primary_id_ = "p",
                              .members_ = {{"p"}, {"b"}},
                              .claimed_at_ = instant{0}});
        endpoint_status primary_status{
            .primary_ = true, .term_ = 3, .received_ = {3, 209}};
        endpoint_status outdated_status{
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
                    primary_status = {.term_ = 3, .received_ = {3, 212}};
                if (action.kind_ == kind::pause && action.endpoint_id_ == "b")
                    outdated_status.paused_by_term_ = action.term_;
                if (action.kind_ == kind::resume)
                    outdated_status.paused_by_term_ = 0;
                if (action.kind_ == kind::record_target)
                    add(attempt.on_target_recorded(true, now));
                else if (action.kind_ == kind::record_end)
                    add(attempt.on_end_recorded(true, now));
                else if (!action.endpoint_id_.empty())
                    add(attempt.on_status(action.endpoint_id_,
                                          action.endpoint_id_ == "p"
                                              ? primary_status
                                              : outdated_status,
                                          now));
            }
            now = now + 10;
            add(attempt.tick(now));
            actions = std::move(next);
        }
        CPPUNIT_ASSERT(attempt.finished());
        CPPUNIT_ASSERT(primary_status.primary_);
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{0}, outdated_status.paused_by_term_);
    }

    // Regression: a pause of an earlier attempt made this one name a later
    // term, so that the promotion did not end the pauses and a replica stayed
    // paused.
    void promotion_ends_pauses()
    {
        takeover attempt =
            started(takeover_reason::silent, {{"p"}, {"a"}, {"b"}});
        endpoint_status unpaused_status{.term_ = 1, .received_ = {1, 5}};
        endpoint_status paused_status{
            .term_ = 1, .received_ = {1, 5}, .paused_by_term_ = 2};
        attempt.on_status("p", std::nullopt, instant{1});
        attempt.on_status("a", paused_status, instant{1});
        auto pauses = attempt.on_status("b", unpaused_status, instant{1});
        CPPUNIT_ASSERT_EQUAL(std::size_t{3}, pauses.size());
        CPPUNIT_ASSERT(pauses[0].kind_ == kind::list_members);
        pauses.erase(pauses.begin());
        for (const auto& action : pauses)
        {
            CPPUNIT_ASSERT(action.kind_ == kind::pause);
            CPPUNIT_ASSERT_EQUAL(std::uint64_t{2}, action.term_);
        }
    }

    // Regression: a crashed primary came back under another id while the order
    // was pending, and a replica that joined confirmed its changes.
    void returned_primary_steps_down()
    {
        takeover attempt =
            started(takeover_reason::silent, {{"p"}, {"a"}, {"b"}});
        pause_both_replicas(attempt);
        attempt.on_target_recorded(true, instant{3});
        attempt.on_members_listed(instant{3}, instant{3});
        attempt.on_ordered(takeover::order_outcome::unknown, instant{4});
        auto joined = attempt.on_joined("q", instant{10});
        CPPUNIT_ASSERT(joined.at(0).kind_ == kind::pause);
        endpoint_status primary_status{
            .primary_ = true, .term_ = 1, .received_ = {1, 5}};
        auto actions = attempt.on_status("q", primary_status, instant{11});
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, actions.size());
        CPPUNIT_ASSERT(actions[0].kind_ == kind::step_down);
        CPPUNIT_ASSERT_EQUAL(std::string("q"), actions[0].endpoint_id_);
        // The command is repeated until the step down is confirmed.
        bool again = false;
        for (const auto& action : attempt.tick(instant{400}))
            again = again || action.kind_ == kind::step_down;
        CPPUNIT_ASSERT(again);
    }

    // The primary came back under an id that this host did not know as the
    // primary's.
    void unknown_primary_steps_down_while_order_is_pending()
    {
        takeover attempt = started(takeover_reason::unfinished,
                                   {{"p"}, {"a"}, {"q"}}, {.ordered_ = "a"});
        endpoint_status paused_status{
            .term_ = 1, .received_ = {1, 5}, .paused_by_term_ = 2};
        endpoint_status primary_status{
            .primary_ = true, .term_ = 1, .received_ = {1, 5}};
        attempt.on_status("p", std::nullopt, instant{1});
        attempt.on_status("a", paused_status, instant{1});
        auto actions = attempt.on_status("q", primary_status, instant{1});
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, actions.size());
        CPPUNIT_ASSERT(actions[0].kind_ == kind::step_down);
        CPPUNIT_ASSERT_EQUAL(std::string("q"), actions[0].endpoint_id_);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(takeover_test);

} // namespace
} // namespace tanagerspan
