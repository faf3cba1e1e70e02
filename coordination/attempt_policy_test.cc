// Checks the two guarantees of attempt_policy.h for every combination of step,
// failure and permission to retry.

#include "coordination/attempt_policy.h"
#include "testing/check.h"

namespace tanagerspan
{
namespace
{

constexpr std::array all_steps{attempt_step::connect,
                               attempt_step::begin,
                               attempt_step::autocommit_read,
                               attempt_step::autocommit_write,
                               attempt_step::first_in_transaction,
                               attempt_step::later_in_transaction,
                               attempt_step::commit_read_only,
                               attempt_step::commit};

constexpr std::array all_failures{
    attempt_failure::refused, attempt_failure::execution_failed,
    attempt_failure::connection_lost, attempt_failure::timed_out};

bool may_commit(attempt_step step)
{
    return step == attempt_step::autocommit_write ||
           step == attempt_step::commit;
}

template <class Check>
void for_all_combinations(Check check)
{
    for (attempt_step step : all_steps)
    {
        for (attempt_failure failure : all_failures)
        {
            for (bool may_retry : {false, true})
                check(step, failure, may_retry,
                      decide_after_failure(step, failure, may_retry));
        }
    }
}

class attempt_policy_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(attempt_policy_test);
    CPPUNIT_TEST(a_write_that_may_have_committed_is_never_retried);
    CPPUNIT_TEST(an_error_that_promises_no_effect_is_true);
    CPPUNIT_TEST(nothing_is_retried_without_permission);
    CPPUNIT_TEST(a_transaction_that_ran_a_statement_is_never_retried);
    CPPUNIT_TEST(a_connection_without_an_answer_is_closed);
    CPPUNIT_TEST(a_refused_transaction_is_rolled_back);
    CPPUNIT_TEST_SUITE_END();

    void a_write_that_may_have_committed_is_never_retried()
    {
        for_all_combinations(
            [](attempt_step step, attempt_failure failure, bool,
               const attempt_decision& decision)
            {
                bool may_have_committed =
                    may_commit(step) && failure != attempt_failure::refused;
                CPPUNIT_ASSERT(!may_have_committed ||
                               decision.action_ != attempt_action::retry);
            });
    }

    void an_error_that_promises_no_effect_is_true()
    {
        for_all_combinations(
            [](attempt_step step, attempt_failure failure, bool,
               const attempt_decision& decision)
            {
                bool no_effect_promised =
                    decision.action_ == attempt_action::return_proxy_error &&
                    guarantees_no_effect(decision.error_);
                CPPUNIT_ASSERT(!no_effect_promised || !may_commit(step) ||
                               failure == attempt_failure::refused);
                // An error for a statement in a transaction may promise that
                // nothing took effect only if the transaction ends as well;
                // otherwise a later commit could apply its changes.
                bool in_transaction =
                    step == attempt_step::first_in_transaction ||
                    step == attempt_step::later_in_transaction;
                CPPUNIT_ASSERT(!no_effect_promised || !in_transaction ||
                               decision.close_connection_ ||
                               decision.transaction_rolled_back_);
            });
    }

    void nothing_is_retried_without_permission()
    {
        for_all_combinations(
            [](attempt_step, attempt_failure failure, bool may_retry,
               const attempt_decision& decision)
            {
                if (decision.action_ == attempt_action::retry)
                    CPPUNIT_ASSERT(may_retry &&
                                   failure != attempt_failure::timed_out);
            });
    }

    void a_transaction_that_ran_a_statement_is_never_retried()
    {
        for_all_combinations(
            [](attempt_step step, attempt_failure, bool,
               const attempt_decision& decision)
            {
                bool ran = step == attempt_step::later_in_transaction ||
                           step == attempt_step::commit ||
                           step == attempt_step::commit_read_only;
                CPPUNIT_ASSERT(!ran ||
                               decision.action_ != attempt_action::retry);
            });
    }

    void a_connection_without_an_answer_is_closed()
    {
        for_all_combinations(
            [](attempt_step, attempt_failure failure, bool,
               const attempt_decision& decision)
            {
                bool no_answer = failure == attempt_failure::connection_lost ||
                                 failure == attempt_failure::timed_out;
                CPPUNIT_ASSERT_EQUAL(no_answer, decision.close_connection_);
            });
    }

    void a_refused_transaction_is_rolled_back()
    {
        for_all_combinations(
            [](attempt_step, attempt_failure failure, bool,
               const attempt_decision& decision)
            {
                if (failure == attempt_failure::refused)
                    CPPUNIT_ASSERT(decision.transaction_rolled_back_);
            });
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(attempt_policy_test);

} // namespace
} // namespace tanagerspan
