// Tests of the conditions under which a host claims a takeover.

#include "coordination/takeover_trigger.h"
#include "testing/check.h"

namespace tanagerspan
{
namespace
{

class takeover_trigger_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(takeover_trigger_test);
    CPPUNIT_TEST(claim_waits_for_delay_and_rank);
    CPPUNIT_TEST(pending_order_is_claimed_immediately);
    CPPUNIT_TEST(unchanged_row_does_not_prolong_a_claim);
    CPPUNIT_TEST(own_attempt_without_a_recorded_end_is_repeated);
    CPPUNIT_TEST_SUITE_END();

    void claim_waits_for_delay_and_rank()
    {
        takeover_trigger trigger({});
        primary_health health{
            .endpoint_id_ = "p", .listed_ = true, .unreachable_ = true};
        trigger.on_health(health, instant{1000});
        CPPUNIT_ASSERT(!trigger.check(0, instant{1100}));
        CPPUNIT_ASSERT(trigger.check(0, instant{1150}) ==
                       takeover_reason::silent);
        CPPUNIT_ASSERT(!trigger.check(1, instant{1150}));
        trigger.on_row({.token_ = 1, .holder_ = "h", .stage_ = "claimed"},
                       instant{1200});
        CPPUNIT_ASSERT(!trigger.check(0, instant{3000}));
        CPPUNIT_ASSERT(trigger.check(0, instant{8700}) ==
                       takeover_reason::unfinished);
        health.unreachable_ = false;
        trigger.on_health(health, instant{9000});
        trigger.on_row({.token_ = 1, .holder_ = "h", .stage_ = "done"},
                       instant{9000});
        CPPUNIT_ASSERT(!trigger.needs_check());
        CPPUNIT_ASSERT(!trigger.check(0, instant{20'000}));
    }

    // While an order may be pending, another host must claim soon, because
    // nothing keeps the order's evidence valid until there is a holder.
    void pending_order_is_claimed_immediately()
    {
        takeover_trigger trigger({});
        takeover_row row{
            .token_ = 1, .holder_ = "h", .stage_ = "given_up", .ordered_ = "a"};
        trigger.on_row(row, instant{1000});
        CPPUNIT_ASSERT(trigger.needs_check());
        CPPUNIT_ASSERT(!trigger.check(0, instant{1049}));
        CPPUNIT_ASSERT(trigger.check(0, instant{1050}) ==
                       takeover_reason::unfinished);
        CPPUNIT_ASSERT(!trigger.check(2, instant{1050}));
        // "a" is primary: pending orders for it change nothing.
        row.stage_ = "done";
        trigger.on_row(row, instant{2000});
        CPPUNIT_ASSERT(!trigger.check(0, instant{20'000}));
        row.stage_ = "given_up";
        row.ordered_.clear();
        trigger.on_row(row, instant{30'000});
        CPPUNIT_ASSERT(!trigger.check(0, instant{60'000}));
    }

    // Regression: a claim that was written back after a restore of the store
    // counted as a new one, so that the holder's end was noticed later with
    // each restore.
    void unchanged_row_does_not_prolong_a_claim()
    {
        takeover_trigger trigger({});
        takeover_row row{.token_ = 1, .holder_ = "h", .stage_ = "claimed"};
        trigger.on_row(row, instant{1000});
        row.ordered_age_ms_ = 5000;
        trigger.on_row(row, instant{6000});
        CPPUNIT_ASSERT(!trigger.check(0, instant{8499}));
        CPPUNIT_ASSERT(trigger.check(0, instant{8500}) ==
                       takeover_reason::unfinished);
        row.token_ = 2;
        trigger.on_row(row, instant{8500});
        CPPUNIT_ASSERT(!trigger.check(0, instant{15'999}));
        row.stage_ = "ordered";
        trigger.on_row(row, instant{15'000});
        CPPUNIT_ASSERT(!trigger.check(0, instant{22'499}));
        CPPUNIT_ASSERT(trigger.check(0, instant{22'500}) ==
                       takeover_reason::unfinished);
    }

    void own_attempt_without_a_recorded_end_is_repeated()
    {
        takeover_trigger trigger({});
        takeover_row row{.token_ = 1, .holder_ = "h", .stage_ = "claimed"};
        trigger.on_row(row, instant{1000});
        CPPUNIT_ASSERT(!trigger.check(0, instant{1100}));
        trigger.on_end_not_recorded(1);
        CPPUNIT_ASSERT(trigger.check(0, instant{1100}) ==
                       takeover_reason::unfinished);
        // Its order may be pending.
        row.stage_ = "ordered";
        trigger.on_row(row, instant{1200});
        CPPUNIT_ASSERT(!trigger.check(0, instant{8699}));
        trigger.on_row({.token_ = 2, .holder_ = "i", .stage_ = "claimed"},
                       instant{1200});
        CPPUNIT_ASSERT(!trigger.check(0, instant{1300}));
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(takeover_trigger_test);

} // namespace
} // namespace tanagerspan
