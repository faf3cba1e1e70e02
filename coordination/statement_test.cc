// Tests of the state machines of reads and writes, over all short sequences of
// attempt failures.

#include "coordination/read_statement.h"
#include "coordination/write_statement.h"
#include "testing/check.h"

namespace tanagerspan
{
namespace
{

constexpr std::uint64_t term = 4;

group_view view_at(std::uint64_t primary_term, std::uint64_t index,
                   instant asked)
{
    group_view view;
    for (const char* name : {"a", "b", "c"})
        view.members_.push_back(
            {.name_ = name,
             .status_ = {.promised_ = primary_term,
                         .position_ = {.term_ = primary_term, .index_ = index},
                         .leading_ = view.members_.empty()},
             .asked_ = asked,
             .answered_ = asked});
    return view;
}

attempt_result committed(std::uint64_t index)
{
    return execute_answer{.position_ = {.term_ = term, .index_ = index},
                          .results_ = {{}}};
}

const std::vector<error_code>& attempt_failures()
{
    static const std::vector<error_code> all{error_code::not_sent,
                                             error_code::lost,
                                             error_code::not_primary,
                                             error_code::fenced,
                                             error_code::no_slot,
                                             error_code::conflict,
                                             error_code::queue_full,
                                             error_code::over_limit,
                                             error_code::too_many_connections};
    return all;
}

// What the attempts so far allow: once an answer is lost, the outcome stays
// unknown.
struct observed_history
{
    bool outcome_unknown_ = false;
    int sends_after_unknown_ = 0;
};

class statement_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(statement_test);
    CPPUNIT_TEST(a_write_never_reports_a_wrong_outcome);
    CPPUNIT_TEST(a_write_is_done_only_when_a_majority_holds_it);
    CPPUNIT_TEST(a_replaced_primary_is_not_acknowledged);
    CPPUNIT_TEST(a_read_is_not_released_past_its_age_bound);
    CPPUNIT_TEST(a_read_without_token_waits_for_a_newer_status);
    CPPUNIT_TEST(a_read_covers_its_token);
    CPPUNIT_TEST(a_full_queue_ends_a_write_at_once);
    CPPUNIT_TEST_SUITE_END();

    static void run_history(const std::vector<error_code>& failures,
                            bool has_id, bool pinned)
    {
        instant now{1000};
        write_statement machine(
            {.deadline_ = now + 2000,
             .has_request_id_ = has_id,
             .pinned_term_ = pinned ? std::optional(term) : std::nullopt});
        observed_history seen;
        std::size_t next = 0;
        std::uint64_t primary_term = term;
        for (int step = 0; step < 300; ++step)
        {
            auto view = view_at(primary_term, 1, now);
            auto action = machine.step(view, now);
            if (auto* answer = std::get_if<statement_answer>(&action))
            {
                bool refused = answer->outcome_ == outcome::not_run;
                CPPUNIT_ASSERT(!(refused && seen.outcome_unknown_));
                CPPUNIT_ASSERT(answer->outcome_ != outcome::done);
                bool repeats = has_id && !pinned;
                CPPUNIT_ASSERT(repeats || seen.sends_after_unknown_ == 0);
                return;
            }
            if (auto* wait = std::get_if<wait_for_view>(&action))
            {
                // The machine waits this long only for a new primary, so the
                // test provides one.
                if (wait->until_ - now > 500)
                    ++primary_term;
                now = std::min(wait->until_, now + 100);
                continue;
            }
            seen.sends_after_unknown_ += seen.outcome_unknown_ ? 1 : 0;
            auto code = next < failures.size() ? failures[next++]
                                               : error_code::not_sent;
            seen.outcome_unknown_ =
                seen.outcome_unknown_ || code == error_code::lost;
            now = now + 5;
            machine.on_attempt(fail(code), now);
        }
        CPPUNIT_FAIL("a write did not end");
    }

    void a_write_never_reports_a_wrong_outcome()
    {
        const auto& all = attempt_failures();
        for (auto a : all)
            for (auto b : all)
                for (auto c : all)
                    for (bool has_id : {false, true})
                        for (bool pinned : {false, true})
                            run_history({a, b, c}, has_id, pinned);
    }

    void a_write_is_done_only_when_a_majority_holds_it()
    {
        // For all combinations of replicas that report the position: done
        // exactly when the primary and at least one replica hold it.
        instant now{1000};
        for (int mask = 0; mask < 4; ++mask)
        {
            write_statement machine({.deadline_ = now + 2000});
            auto view = view_at(term, 6, now);
            static_cast<void>(machine.step(view, now));
            machine.on_attempt(committed(7), now);
            if ((mask & 1) != 0)
                view.members_[1].status_.position_.index_ = 7;
            if ((mask & 2) != 0)
                view.members_[2].status_.position_.index_ = 9;
            auto action = machine.step(view, now);
            auto* answer = std::get_if<statement_answer>(&action);
            CPPUNIT_ASSERT((answer != nullptr) == (mask != 0));
            if (answer != nullptr)
                CPPUNIT_ASSERT(answer->outcome_ == outcome::done);
        }
    }

    void a_replaced_primary_is_not_acknowledged()
    {
        for (bool has_id : {false, true})
        {
            instant now{1000};
            write_statement machine(
                {.deadline_ = now + 2000, .has_request_id_ = has_id});
            static_cast<void>(machine.step(view_at(term, 6, now), now));
            machine.on_attempt(committed(7), now);
            // The members' positions are later, but of the next term.
            auto action = machine.step(view_at(term + 1, 9, now), now);
            if (has_id)
                CPPUNIT_ASSERT(std::holds_alternative<send_attempt>(action));
            else
                CPPUNIT_ASSERT(std::get<statement_answer>(action).outcome_ ==
                               outcome::unknown);
        }
    }

    void a_read_is_not_released_past_its_age_bound()
    {
        instant now{1000};
        read_statement machine({.started_ = now,
                                .deadline_ = now + 4000,
                                .replica_reads_ = true,
                                .max_age_ms_ = 500});
        auto view = view_at(term, 6, now);
        static_cast<void>(machine.step(view, now));
        machine.on_attempt(committed(7), now);
        auto waits = machine.step(view, now + 10);
        CPPUNIT_ASSERT(std::holds_alternative<wait_for_view>(waits));
        // The confirmation arrives 600 ms after the read.
        auto late = view_at(term, 7, now + 590);
        auto action = machine.step(late, now + 600);
        CPPUNIT_ASSERT(!std::holds_alternative<statement_answer>(action));
    }

    void a_read_without_token_waits_for_a_newer_status()
    {
        instant now{1000};
        read_statement machine({.started_ = now, .deadline_ = now + 4000});
        auto before = view_at(term, 7, now - 50);
        static_cast<void>(machine.step(before, now));
        machine.on_attempt(committed(7), now + 1);
        auto action = machine.step(before, now + 1);
        CPPUNIT_ASSERT(std::get<wait_for_view>(action).poll_now_);
        auto after = machine.step(view_at(term, 7, now + 1), now + 4);
        CPPUNIT_ASSERT(std::get<statement_answer>(after).outcome_ ==
                       outcome::done);
    }

    void a_read_covers_its_token()
    {
        CHECK_PROPERTY("no answer below the token's position",
                       [](std::uint64_t have, std::uint64_t need)
                       {
                           have = have % 20 + 1;
                           need = need % 20 + 1;
                           instant now{1000};
                           read_statement machine(
                               {.started_ = now,
                                .deadline_ = now + 300,
                                .at_least_ = {.term_ = term, .index_ = need},
                                .has_token_ = true,
                                .replica_reads_ = true});
                           for (int step = 0; step < 100; ++step)
                           {
                               auto view = view_at(term, have, now);
                               auto action = machine.step(view, now);
                               if (auto* got =
                                       std::get_if<statement_answer>(&action))
                               {
                                   bool done = got->outcome_ == outcome::done;
                                   RC_ASSERT(done == (have >= need));
                                   return;
                               }
                               if (std::holds_alternative<send_attempt>(action))
                                   machine.on_attempt(committed(have), now);
                               now = now + 10;
                           }
                           RC_FAIL("a read did not end");
                       });
    }

    void a_full_queue_ends_a_write_at_once()
    {
        instant now{1000};
        write_statement machine({.deadline_ = now + 2000});
        auto view = view_at(term, 1, now);
        static_cast<void>(machine.step(view, now));
        machine.on_attempt(fail(error_code::queue_full), now);
        auto action = machine.step(view, now);
        CPPUNIT_ASSERT(std::get<statement_answer>(action).outcome_ ==
                       outcome::not_run);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(statement_test);

} // namespace
} // namespace tanagerspan
