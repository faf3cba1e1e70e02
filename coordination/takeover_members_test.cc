// Tests of which endpoints a takeover attempt has to know before its order:
// those that may have confirmed a change, and the primary if any host reaches
// it.

#include <algorithm>

#include "coordination/takeover_run_test.h"
#include "testing/check.h"

namespace tanagerspan
{
namespace
{

using kind = takeover_action::kind;

class takeover_members_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(takeover_members_test);
    CPPUNIT_TEST(log_of_a_joining_endpoint_is_compared);
    CPPUNIT_TEST(no_order_before_the_endpoints_are_listed_again);
    CPPUNIT_TEST(endpoint_that_joined_before_the_step_down_is_compared);
    CPPUNIT_TEST(primary_that_other_hosts_reach_steps_down_first);
    CPPUNIT_TEST(slow_primary_is_not_mistaken_for_one_behind_a_cut);
    CPPUNIT_TEST(primary_that_is_back_steps_down_before_the_order);
    CPPUNIT_TEST(log_of_a_former_start_is_awaited);
    CPPUNIT_TEST(departed_endpoint_and_primary_are_awaited_and_then_lost);
    CPPUNIT_TEST(attempt_that_cannot_await_a_log_ends_early);
    CPPUNIT_TEST(log_of_a_departed_endpoint_is_not_lost_if_the_primary_is_back);
    CPPUNIT_TEST_SUITE_END();

    /// An attempt at `start` that has paused "a" and "b" and asked the primary
    /// "p" and "g", which departed; neither answers. The host has known no
    /// primary since 0 ms.
    static takeover awaiting_a_departed_log(instant start)
    {
        takeover attempt(
            {},
            {.reason_ = takeover_reason::silent,
             .primary_id_ = "p",
             .members_ = {{"p"}, {"a"}, {"b"}, {.id_ = "g", .listed_ = false}},
             .claimed_at_ = start,
             .without_primary_since_ = instant{0}});
        attempt.start(start);
        for (const char* id : {"p", "g"})
            attempt.on_status(id, std::nullopt, start);
        for (const char* id : {"a", "b"})
            attempt.on_status(id, replica_status(), start);
        answer_pauses(attempt, start);
        return attempt;
    }

    static std::vector<takeover_action> answer_pauses(takeover& attempt,
                                                      instant now)
    {
        auto out = attempt.on_members_listed(now, now);
        auto add = [&out](const std::vector<takeover_action>& more)
        {
            out.insert(out.end(), more.begin(), more.end());
        };
        add(attempt.on_status("g", std::nullopt, now));
        add(attempt.on_status("a", replica_status(2), now));
        add(attempt.on_status("b", replica_status(2), now));
        return out;
    }

    /// An attempt that has sent its first status statements, at 0 ms.
    static takeover started(takeover_reason reason,
                            std::vector<takeover_member> members)
    {
        takeover attempt({}, {.reason_ = reason,
                              .primary_id_ = "p",
                              .members_ = std::move(members),
                              .claimed_at_ = instant{0}});
        attempt.start(instant{0});
        return attempt;
    }

    static endpoint_status replica_status(std::uint64_t paused_by_term = 0)
    {
        return {
            .term_ = 1, .received_ = {1, 5}, .paused_by_term_ = paused_by_term};
    }

    static bool contains(const std::vector<takeover_action>& actions, kind what,
                         const std::string& id)
    {
        return std::any_of(actions.begin(), actions.end(),
                           [&](const takeover_action& one)
                           {
                               return one.kind_ == what &&
                                      one.endpoint_id_ == id;
                           });
    }

    static constexpr endpoint_status working_primary{
        .primary_ = true, .term_ = 1, .received_ = {1, 5}};

    static void no_events(group_model&)
    {
    }

    // Guards against the loss of an acknowledged change (LOST): the endpoint
    // may have confirmed changes before this host knew it.
    void log_of_a_joining_endpoint_is_compared()
    {
        for (bool before_pausing : {true, false})
        {
            takeover attempt =
                started(takeover_reason::silent, {{"p"}, {"a"}, {"b"}});
            std::vector<takeover_action> joined;
            if (before_pausing)
                joined = attempt.on_joined("n", instant{1});
            attempt.on_status("p", std::nullopt, instant{1});
            for (const char* id : {"a", "b"})
                attempt.on_status(id, replica_status(), instant{1});
            if (before_pausing)
                attempt.on_status("n", replica_status(), instant{1});
            else
                joined = attempt.on_joined("n", instant{1});
            CPPUNIT_ASSERT_EQUAL(std::size_t{1}, joined.size());
            CPPUNIT_ASSERT(joined[0].kind_ ==
                           (before_pausing ? kind::ask_status : kind::pause));
            attempt.on_members_listed(instant{2}, instant{2});
            for (const char* id : {"a", "b"})
                CPPUNIT_ASSERT(
                    attempt.on_status(id, replica_status(2), instant{2})
                        .empty());
            endpoint_status longer = replica_status(2);
            longer.received_.index_ += 1;
            auto chosen = attempt.on_status("n", longer, instant{3});
            CPPUNIT_ASSERT(contains(chosen, kind::record_target, "n"));
        }
    }

    // Guards against the loss of an acknowledged change (LOST): the list of
    // endpoints was up to two seconds old, and the endpoint with the longest
    // log was not on it.
    void no_order_before_the_endpoints_are_listed_again()
    {
        takeover attempt =
            started(takeover_reason::silent, {{"p"}, {"a"}, {"b"}});
        attempt.on_status("p", std::nullopt, instant{1});
        attempt.on_status("a", replica_status(), instant{1});
        auto pausing = attempt.on_status("b", replica_status(), instant{1});
        CPPUNIT_ASSERT(contains(pausing, kind::list_members, ""));
        for (const char* id : {"a", "b"})
            CPPUNIT_ASSERT(
                attempt.on_status(id, replica_status(2), instant{2}).empty());
        // An earlier list does not count.
        CPPUNIT_ASSERT(
            attempt.on_members_listed(instant{0}, instant{3}).empty());
        auto chosen = attempt.on_members_listed(instant{1}, instant{4});
        CPPUNIT_ASSERT(contains(chosen, kind::record_target, "a") ||
                       contains(chosen, kind::record_target, "b"));
    }

    // The change is in the logs of the primary and of an endpoint that this
    // host does not know yet.
    void endpoint_that_joined_before_the_step_down_is_compared()
    {
        group_model group;
        group.commit("n");
        group.has_joined_ = true;
        auto run = run_attempt(group, takeover_reason::leaving, no_events);
        CPPUNIT_ASSERT(run.ordered_ == "n");
        CPPUNIT_ASSERT(group.find("n").log_ >= group.acknowledged_);
    }

    // Guards against the loss of an acknowledged change (LOST): a host that did
    // not reach the primary paused the replicas that it knew. An endpoint that
    // it did not know confirmed changes of the primary, which worked for other
    // hosts, and the promotion discarded them.
    void primary_that_other_hosts_reach_steps_down_first()
    {
        takeover attempt =
            started(takeover_reason::silent, {{"p"}, {"a"}, {"b"}});
        attempt.on_status("a", replica_status(), instant{1});
        attempt.on_status("b", replica_status(), instant{1});
        attempt.on_status("p", working_primary, instant{150},
                          answer_path::relayed);
        auto actions = attempt.tick(instant{700});
        CPPUNIT_ASSERT(contains(actions, kind::step_down, "p"));
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, actions.size());
    }

    void slow_primary_is_not_mistaken_for_one_behind_a_cut()
    {
        takeover attempt =
            started(takeover_reason::silent, {{"p"}, {"a"}, {"b"}});
        attempt.on_status("a", replica_status(), instant{1});
        attempt.on_status("b", replica_status(), instant{1});
        attempt.on_status("p", working_primary, instant{150},
                          answer_path::relayed);
        attempt.on_status("p", working_primary, instant{300});
        auto actions = attempt.tick(instant{700});
        CPPUNIT_ASSERT(!contains(actions, kind::step_down, "p"));
        CPPUNIT_ASSERT(contains(actions, kind::ask_status, "a"));
    }

    // Guards against the loss of an acknowledged change (LOST): the primary
    // worked again while its replicas were being paused.
    void primary_that_is_back_steps_down_before_the_order()
    {
        takeover attempt =
            started(takeover_reason::silent, {{"p"}, {"a"}, {"b"}});
        attempt.on_status("p", std::nullopt, instant{1});
        attempt.on_status("a", replica_status(), instant{1});
        attempt.on_status("b", replica_status(), instant{1});
        attempt.on_status("a", replica_status(2), instant{2});
        CPPUNIT_ASSERT(
            contains(attempt.tick(instant{400}), kind::ask_status, "p"));
        auto actions = attempt.on_status("p", working_primary, instant{401});
        CPPUNIT_ASSERT(contains(actions, kind::step_down, "p"));
        actions = attempt.on_status("b", replica_status(2), instant{402});
        CPPUNIT_ASSERT(actions.empty());
    }

    // Guards against the loss of an acknowledged change (LOST): a replica that
    // started again under its id answered with an empty log, and the attempt
    // took it for the log that had confirmed changes.
    void log_of_a_former_start_is_awaited()
    {
        takeover attempt =
            started(takeover_reason::silent, {{"p"}, {"a"}, {"b"}});
        attempt.on_status("p", std::nullopt, instant{1});
        for (const char* id : {"a", "b"})
            attempt.on_status(id, replica_status(), instant{1});
        attempt.on_restarted({.id_ = "b@1", .listed_ = false});
        auto out = answer_pauses(attempt, instant{2});
        CPPUNIT_ASSERT(!contains(out, kind::record_target, "a"));
        CPPUNIT_ASSERT(!contains(out, kind::record_target, "b"));
        // The primary comes back with its log and steps down.
        attempt.on_status("p", working_primary, instant{500});
        endpoint_status stepped_down = working_primary;
        stepped_down.primary_ = false;
        attempt.on_status("p", stepped_down, instant{501});
        attempt.tick(instant{550});
        out = answer_pauses(attempt, instant{551});
        CPPUNIT_ASSERT(contains(out, kind::record_target, "a") ||
                       contains(out, kind::record_target, "b"));
    }

    // Guards against a service that stays without a primary (RECOVER): the
    // primary was lost soon after an endpoint had left, so no mark ever bounded
    // that endpoint's log.
    void departed_endpoint_and_primary_are_awaited_and_then_lost()
    {
        takeover attempt = awaiting_a_departed_log(instant{5000});
        CPPUNIT_ASSERT(answer_pauses(attempt, instant{7900}).empty());
        auto out = answer_pauses(attempt, instant{8000});
        CPPUNIT_ASSERT(contains(out, kind::record_target, "a") ||
                       contains(out, kind::record_target, "b"));
    }

    void attempt_that_cannot_await_a_log_ends_early()
    {
        takeover attempt = awaiting_a_departed_log(instant{1000});
        CPPUNIT_ASSERT(!contains(answer_pauses(attempt, instant{2900}),
                                 kind::record_end, ""));
        CPPUNIT_ASSERT(contains(answer_pauses(attempt, instant{3000}),
                                kind::record_end, ""));
    }

    void log_of_a_departed_endpoint_is_not_lost_if_the_primary_is_back()
    {
        takeover attempt = awaiting_a_departed_log(instant{5000});
        attempt.on_status("p", working_primary, instant{7000});
        endpoint_status stepped_down = working_primary;
        stepped_down.primary_ = false;
        stepped_down.received_.index_ += 1;
        attempt.on_status("p", stepped_down, instant{7001});
        attempt.tick(instant{7050});
        attempt.on_status("p", stepped_down, instant{8400});
        auto out = answer_pauses(attempt, instant{8400});
        CPPUNIT_ASSERT(!contains(out, kind::record_target, "a"));
        CPPUNIT_ASSERT(!contains(out, kind::record_target, "b"));
        CPPUNIT_ASSERT(contains(out, kind::record_target, "p"));
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(takeover_members_test);

} // namespace
} // namespace tanagerspan
