// Enumerates every step, failure and chance to retry against the promises.

#include "coordination/attempt_policy.h"
#include "testing/check.h"

namespace tanagerspan
{
namespace
{

constexpr std::array all_steps{
    attempt_step::connect,          attempt_step::begin,
    attempt_step::lone_read,        attempt_step::lone_write,
    attempt_step::first_inside,     attempt_step::later_inside,
    attempt_step::commit_read_only, attempt_step::commit};

constexpr std::array all_failures{attempt_failure::refused,
                                  attempt_failure::ran, attempt_failure::lost,
                                  attempt_failure::expired};

bool keeps_at_once(attempt_step step)
{
    return step == attempt_step::lone_write || step == attempt_step::commit;
}

template <class Check>
void for_all(Check check)
{
    for (attempt_step step : all_steps)
    {
        for (attempt_failure how : all_failures)
        {
            for (bool may_retry : {false, true})
                check(step, how, may_retry, judge(step, how, may_retry));
        }
    }
}

class attempt_policy_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(attempt_policy_test);
    CPPUNIT_TEST(what_may_have_been_kept_is_never_sent_again);
    CPPUNIT_TEST(a_promise_that_nothing_is_kept_is_true);
    CPPUNIT_TEST(nothing_is_repeated_without_leave);
    CPPUNIT_TEST(a_transaction_that_ran_something_never_moves);
    CPPUNIT_TEST(a_connection_without_its_answer_is_closed);
    CPPUNIT_TEST(a_refused_transaction_is_rolled_back);
    CPPUNIT_TEST_SUITE_END();

    void what_may_have_been_kept_is_never_sent_again()
    {
        for_all(
            [](attempt_step step, attempt_failure how, bool,
               const attempt_ruling& ruling)
            {
                bool may_be_kept =
                    keeps_at_once(step) && how != attempt_failure::refused;
                CPPUNIT_ASSERT(!may_be_kept ||
                               ruling.verdict_ != attempt_verdict::retry);
            });
    }

    void a_promise_that_nothing_is_kept_is_true()
    {
        for_all(
            [](attempt_step step, attempt_failure how, bool,
               const attempt_ruling& ruling)
            {
                bool promised = ruling.verdict_ == attempt_verdict::refuse &&
                                guarantees_no_effect(ruling.error_);
                CPPUNIT_ASSERT(!promised || !keeps_at_once(step) ||
                               how == attempt_failure::refused);
                // Inside a transaction the promise needs its end.
                bool inside = step == attempt_step::first_inside ||
                              step == attempt_step::later_inside;
                CPPUNIT_ASSERT(!promised || !inside || ruling.close_ ||
                               ruling.roll_back_);
            });
    }

    void nothing_is_repeated_without_leave()
    {
        for_all(
            [](attempt_step, attempt_failure how, bool may_retry,
               const attempt_ruling& ruling)
            {
                if (ruling.verdict_ == attempt_verdict::retry)
                    CPPUNIT_ASSERT(may_retry &&
                                   how != attempt_failure::expired);
            });
    }

    void a_transaction_that_ran_something_never_moves()
    {
        for_all(
            [](attempt_step step, attempt_failure, bool,
               const attempt_ruling& ruling)
            {
                bool ran = step == attempt_step::later_inside ||
                           step == attempt_step::commit ||
                           step == attempt_step::commit_read_only;
                CPPUNIT_ASSERT(!ran ||
                               ruling.verdict_ != attempt_verdict::retry);
            });
    }

    void a_connection_without_its_answer_is_closed()
    {
        for_all(
            [](attempt_step, attempt_failure how, bool,
               const attempt_ruling& ruling)
            {
                bool no_answer = how == attempt_failure::lost ||
                                 how == attempt_failure::expired;
                CPPUNIT_ASSERT_EQUAL(no_answer, ruling.close_);
            });
    }

    void a_refused_transaction_is_rolled_back()
    {
        for_all(
            [](attempt_step, attempt_failure how, bool,
               const attempt_ruling& ruling)
            {
                if (how == attempt_failure::refused)
                    CPPUNIT_ASSERT(ruling.roll_back_);
            });
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(attempt_policy_test);

} // namespace
} // namespace tanagerspan
