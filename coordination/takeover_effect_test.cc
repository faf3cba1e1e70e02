// Tests of takeover attempts between the acceptance of a promotion order and
// its effect.

#include <algorithm>

#include "coordination/takeover.h"
#include "coordination/takeover_row.h"
#include "testing/check.h"

namespace tanagerspan
{
namespace
{

using kind = takeover_action::kind;

class takeover_effect_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(takeover_effect_test);
    CPPUNIT_TEST(silent_primary_is_told_to_step_down_with_the_order);
    CPPUNIT_TEST(endpoint_that_joins_after_the_order_is_paused);
    CPPUNIT_TEST(replica_that_restarts_after_the_order_is_paused_again);
    CPPUNIT_TEST(primary_that_returns_after_the_order_steps_down);
    CPPUNIT_TEST(effect_ends_the_attempt);
    CPPUNIT_TEST(order_stays_in_the_row_until_its_effect);
    CPPUNIT_TEST(promotion_without_effect_ends_the_attempt);
    CPPUNIT_TEST_SUITE_END();

    static constexpr endpoint_status paused_replica{
        .term_ = 1, .received_ = {1, 5}, .paused_by_term_ = 2};

    /// An attempt whose order for `target_` was accepted at 10 ms. The primary
    /// "p" does not answer; "a" and "b" are paused.
    struct ordered_attempt
    {
        takeover attempt_{{},
                          {.reason_ = takeover_reason::silent,
                           .primary_id_ = "p",
                           .members_ = {{"p"}, {"a"}, {"b"}},
                           .claimed_at_ = instant{0}}};
        std::string target_;
        std::string other_;
        std::vector<takeover_action> on_ordering_;

        ordered_attempt()
        {
            attempt_.start(instant{0});
            attempt_.on_status("p", std::nullopt, instant{1});
            endpoint_status unpaused = paused_replica;
            unpaused.paused_by_term_ = 0;
            for (const char* id : {"a", "b"})
                attempt_.on_status(id, unpaused, instant{1});
            attempt_.on_members_listed(instant{2}, instant{2});
            for (const char* id : {"a", "b"})
                attempt_.on_status(id, paused_replica, instant{2});
            attempt_.on_target_recorded(true, instant{3});
            on_ordering_ = attempt_.on_members_listed(instant{3}, instant{3});
            target_ = on_ordering_.at(0).endpoint_id_;
            other_ = target_ == "a" ? "b" : "a";
            attempt_.on_ordered(takeover::order_outcome::done, instant{10});
        }
    };

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

    // Guards against the loss of an acknowledged change (LOST): a crashed
    // primary was back just before the order and wrote changes, which an
    // endpoint that joined confirmed before the next question to the primary.
    void silent_primary_is_told_to_step_down_with_the_order()
    {
        ordered_attempt f;
        CPPUNIT_ASSERT(contains(f.on_ordering_, kind::step_down, "p"));
    }

    // Guards against the loss of an acknowledged change (LOST): the attempt
    // ended when its order was accepted. An endpoint that joined in the second
    // until the promotion took effect confirmed changes of the old primary.
    void endpoint_that_joins_after_the_order_is_paused()
    {
        ordered_attempt f;
        CPPUNIT_ASSERT(!f.attempt_.finished());
        auto actions = f.attempt_.on_joined("n", instant{300});
        CPPUNIT_ASSERT(contains(actions, kind::pause, "n"));
        CPPUNIT_ASSERT(
            contains(f.attempt_.tick(instant{700}), kind::pause, "n"));
    }

    // The same with a paused replica that restarts and forgets its pause.
    void replica_that_restarts_after_the_order_is_paused_again()
    {
        ordered_attempt f;
        CPPUNIT_ASSERT(
            contains(f.attempt_.tick(instant{400}), kind::pause, f.other_));
        CPPUNIT_ASSERT(
            contains(f.attempt_.tick(instant{800}), kind::pause, f.other_));
    }

    // The same with the crashed primary, which comes back with its log.
    void primary_that_returns_after_the_order_steps_down()
    {
        ordered_attempt f;
        auto actions = f.attempt_.on_status(
            "p",
            endpoint_status{.primary_ = true, .term_ = 1, .received_ = {1, 5}},
            instant{500});
        CPPUNIT_ASSERT(contains(actions, kind::step_down, "p"));
    }

    void effect_ends_the_attempt()
    {
        ordered_attempt f;
        CPPUNIT_ASSERT(contains(f.attempt_.tick(instant{500}), kind::ask_status,
                                f.target_));
        auto actions = f.attempt_.on_status(
            f.target_,
            endpoint_status{.primary_ = true, .term_ = 2, .received_ = {1, 5}},
            instant{1010});
        CPPUNIT_ASSERT(f.attempt_.finished());
        CPPUNIT_ASSERT(contains(actions, kind::finish, f.target_));
        CPPUNIT_ASSERT(!f.attempt_.pending_at(instant{1010}).ordered_);
    }

    // Guards against the loss of an acknowledged change (LOST): the row said
    // "done" when the order was accepted, and hosts gave the old primary work
    // again.
    void order_stays_in_the_row_until_its_effect()
    {
        ordered_attempt f;
        instant now{500};
        CPPUNIT_ASSERT(f.attempt_.pending_at(now).ordered_ == f.target_);
        takeover_row row = make_end_row({.token_ = 1, .stage_ = "ordered"}, "",
                                        f.attempt_.pending_at(now), 0);
        auto pending = pending_promotion_of(row, now);
        CPPUNIT_ASSERT_EQUAL(f.target_, pending.endpoint_id_);
        // The platform has carried out an accepted order by then.
        CPPUNIT_ASSERT(pending.until_ > instant{1010});
        CPPUNIT_ASSERT(pending.until_ <= instant{2010});
    }

    // The ordered endpoint crashed before it was promoted. Another one can be
    // ordered at once, since no copy of an answered order is on its way.
    void promotion_without_effect_ends_the_attempt()
    {
        ordered_attempt f;
        f.attempt_.tick(instant{2000});
        CPPUNIT_ASSERT(!f.attempt_.pending_at(instant{2000}).ordered_);
        bool resumes = false;
        for (const auto& action :
             f.attempt_.on_end_recorded(true, instant{2010}))
            resumes = resumes || action.kind_ == kind::resume;
        CPPUNIT_ASSERT(resumes);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(takeover_effect_test);

} // namespace
} // namespace tanagerspan
