// Tests of callers' sessions through the traffic side of a proxy, with real
// sockets on loopback and stand-in endpoints on one event loop.

#include <algorithm>

#include "node/session_fixture_test.h"

namespace tanagerspan
{
namespace
{

bool failed_with(const reply& got, reply_error error)
{
    return got.error_ == error;
}

class session_flow_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(session_flow_test);
    CPPUNIT_TEST(a_session_reads_and_writes);
    CPPUNIT_TEST(an_unknown_database_is_refused);
    CPPUNIT_TEST(values_and_prepared_statements_follow_the_session);
    CPPUNIT_TEST(a_transaction_stays_on_one_connection);
    CPPUNIT_TEST(a_transaction_fails_after_its_connection_closed);
    CPPUNIT_TEST(the_first_statement_waits_for_the_begin);
    CPPUNIT_TEST(a_strict_read_runs_only_after_a_successful_begin);
    CPPUNIT_TEST(an_unanswered_write_is_in_doubt_and_not_repeated);
    CPPUNIT_TEST(a_refused_write_is_retried);
    CPPUNIT_TEST(a_read_is_retried_after_its_endpoint_failed);
    CPPUNIT_TEST(an_own_write_is_seen_by_the_next_read);
    CPPUNIT_TEST(a_late_answer_leaves_no_open_transaction);
    CPPUNIT_TEST(an_idle_transaction_is_rolled_back);
    CPPUNIT_TEST(a_disconnect_rolls_the_transaction_back);
    CPPUNIT_TEST(a_failed_transaction_accepts_only_its_end);
    CPPUNIT_TEST(invalid_statements_do_not_end_the_session);
    CPPUNIT_TEST(a_silent_primary_is_reported);
    CPPUNIT_TEST(a_drain_interrupts_no_transaction);
    CPPUNIT_TEST(open_transactions_have_half_of_the_grace_period);
    CPPUNIT_TEST_SUITE_END();

protected:
    /// Whether callers connect to a proxy that is not a home of the service.
    virtual bool through_home() const
    {
        return false;
    }

private:
    void a_session_reads_and_writes()
    {
        session_fixture f(through_home());
        for (const char* database : {"strict", "own", "bounded"})
        {
            auto user = f.open(database);
            reply got = f.execute(*user, "READ k1");
            CPPUNIT_ASSERT(!got.error_);
            CPPUNIT_ASSERT(got.state_ == transaction_state::idle);
            CPPUNIT_ASSERT_EQUAL(std::string("row-k1"), got.rows_.at(0));
            CPPUNIT_ASSERT(!f.execute(*user, "WRITE k1 v").error_);
        }
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{4},
                             f.primary().options_.position_.index_);
    }

    void an_unknown_database_is_refused()
    {
        session_fixture f(through_home());
        auto user = f.open("nowhere");
        CPPUNIT_ASSERT(user->ended_ && user->refused_);
    }

    void values_and_prepared_statements_follow_the_session()
    {
        session_fixture f(through_home());
        auto first_caller = f.open("own");
        auto second_caller = f.open("own");
        f.execute(*first_caller, "SET tz lima");
        f.execute(*first_caller, "PREPARE s READ shape1");
        f.execute(*second_caller, "PREPARE s READ shape2");
        for (int i = 0; i < 12; ++i)
        {
            CPPUNIT_ASSERT(!f.execute(*first_caller, "EXECUTE s a").error_);
            CPPUNIT_ASSERT(!f.execute(*second_caller, "EXECUTE s b").error_);
        }
        std::size_t seen = 0;
        for (const auto& member : f.members_)
        {
            for (const auto& ran : member->ran_)
            {
                bool first = ran.statement_.arguments_ == "a";
                ++seen;
                CPPUNIT_ASSERT_EQUAL(std::string(first ? "shape1" : "shape2"),
                                     ran.shape_);
                CPPUNIT_ASSERT_EQUAL(std::size_t(first ? 1 : 0),
                                     ran.values_.size());
            }
        }
        CPPUNIT_ASSERT_EQUAL(std::size_t{24}, seen);
        CPPUNIT_ASSERT(failed_with(f.execute(*second_caller, "EXECUTE t b"),
                                   reply_error::no_statement));
    }

    void a_transaction_stays_on_one_connection()
    {
        session_fixture f(through_home());
        auto user = f.open("own");
        CPPUNIT_ASSERT(f.execute(*user, "BEGIN").state_ ==
                       transaction_state::open);
        f.execute(*user, "READ a");
        f.execute(*user, "WRITE b 1");
        reply end = f.execute(*user, "COMMIT");
        CPPUNIT_ASSERT(!end.error_ && end.state_ == transaction_state::idle);
        const auto& ran = f.primary().ran_;
        CPPUNIT_ASSERT_EQUAL(std::size_t{3}, ran.size());
        for (const auto& stmt : ran)
        {
            CPPUNIT_ASSERT_EQUAL(ran[0].transaction_, stmt.transaction_);
            CPPUNIT_ASSERT(stmt.transaction_ != 0);
        }
    }

    // Guards against a statement that runs outside of its transaction: after
    // the transaction's connection had closed, the next statement was sent on
    // another connection.
    void a_transaction_fails_after_its_connection_closed()
    {
        for (const char* next : {"READ b", "WRITE b 1", "COMMIT"})
        {
            session_fixture f(through_home());
            auto user = f.open("own");
            f.execute(*user, "BEGIN");
            f.execute(*user, "READ a");
            f.primary().close_connections();
            f.run_for(20);
            reply got = f.execute(*user, next);
            CPPUNIT_ASSERT_MESSAGE(next,
                                   failed_with(got, reply_error::aborted));
            for (const auto& member : f.members_)
            {
                for (const auto& ran : member->ran_)
                    CPPUNIT_ASSERT(ran.transaction_ != 0);
            }
        }
    }

    void the_first_statement_waits_for_the_begin()
    {
        session_fixture f(through_home());
        auto user = f.open("own");
        f.primary().options_.primary_ = false; // it was replaced as primary
        f.execute(*user, "BEGIN");
        CPPUNIT_ASSERT(
            failed_with(f.execute(*user, "WRITE a 1"), reply_error::busy));
        for (const auto& member : f.members_)
        {
            for (const auto& asked : member->asked_)
                CPPUNIT_ASSERT(asked.kind_ != statement_kind::write);
        }
    }

    void a_strict_read_runs_only_after_a_successful_begin()
    {
        session_fixture f(through_home());
        f.primary().options_.primary_ = false;
        f.members_[1]->options_.primary_ = true;
        auto user = f.open("strict");
        CPPUNIT_ASSERT(!f.execute(*user, "READ a").error_);
        CPPUNIT_ASSERT(f.primary().ran_.empty());
        CPPUNIT_ASSERT(f.members_[1]->ran_.at(0).transaction_ != 0);
    }

    void an_unanswered_write_is_in_doubt_and_not_repeated()
    {
        for (bool closes : {true, false})
        {
            session_fixture f(through_home());
            f.primary().faults_ = [closes](const statement& what)
            {
                using fault = session_endpoint::fault;
                return what.kind_ == statement_kind::write
                           ? std::optional(
                                 fault{.silent_ = !closes, .close_ = closes})
                           : std::nullopt;
            };
            auto user = f.open("own");
            reply got = f.execute(*user, "WRITE a 1");
            CPPUNIT_ASSERT(failed_with(got, closes ? reply_error::in_doubt
                                                   : reply_error::timeout));
            f.run_for(100);
            CPPUNIT_ASSERT_EQUAL(std::size_t{1}, f.primary().ran_.size());
        }
    }

    void a_refused_write_is_retried()
    {
        session_fixture f(through_home());
        int refusals = 2;
        f.primary().faults_ = [&refusals](const statement& what)
        {
            using fault = session_endpoint::fault;
            bool refuse = what.kind_ == statement_kind::write && refusals-- > 0;
            return refuse ? std::optional(fault{.error_ = reply_error::busy})
                          : std::nullopt;
        };
        auto user = f.open("own");
        CPPUNIT_ASSERT(!f.execute(*user, "WRITE a 1").error_);
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, f.primary().ran_.size());
    }

    void a_read_is_retried_after_its_endpoint_failed()
    {
        session_fixture f(through_home());
        auto user = f.open("bounded");
        f.execute(*user, "READ a");
        int asked = 0;
        for (auto& member : f.members_)
        {
            member->faults_ = [&asked](const statement& what)
                -> std::optional<session_endpoint::fault>
            {
                if (what.kind_ != statement_kind::read)
                    return std::nullopt;
                if (asked++ > 0)
                    return std::nullopt;
                return session_endpoint::fault{.close_ = true};
            };
        }
        CPPUNIT_ASSERT(!f.execute(*user, "READ b").error_);
        CPPUNIT_ASSERT_EQUAL(2, asked);
    }

    void an_own_write_is_seen_by_the_next_read()
    {
        session_fixture f(through_home());
        auto user = f.open("own");
        f.execute(*user, "READ a"); // creates a freshness mark
        f.run_for(50);
        for (int i = 0; i < 5; ++i)
        {
            f.execute(*user, "WRITE a 1");
            log_position written = f.primary().options_.position_;
            CPPUNIT_ASSERT(!f.execute(*user, "READ a").error_);
            for (const auto& member : f.members_)
            {
                bool replica_ran =
                    member.get() != &f.primary() && !member->ran_.empty();
                CPPUNIT_ASSERT(!replica_ran ||
                               member->options_.position_ >= written);
                member->ran_.clear();
            }
        }
    }

    // Guards against giving a connection with an open transaction to other
    // work. The proxy began a transaction at the primary to repeat a slow read,
    // then the answer to the first attempt arrived, and the connection was
    // released while its transaction was open.
    void a_late_answer_leaves_no_open_transaction()
    {
        session_fixture f(through_home());
        auto user = f.open("bounded");
        f.execute(*user, "READ a");
        int reads = 0;
        for (auto& member : f.members_)
        {
            // The first read is answered late. The repeated one reaches a
            // lagging replica, and the begin that follows is answered slowly.
            member->faults_ = [&reads](const statement& what)
                -> std::optional<session_endpoint::fault>
            {
                using fault = session_endpoint::fault;
                if (what.kind_ == statement_kind::begin)
                    return fault{.delay_ms_ = 150};
                if (what.kind_ != statement_kind::read)
                    return std::nullopt;
                ++reads;
                if (reads == 1)
                    return fault{.delay_ms_ = 250};
                return fault{.error_ = reply_error::lagging};
            };
        }
        CPPUNIT_ASSERT(!f.execute(*user, "READ slow").error_);
        CPPUNIT_ASSERT_EQUAL(2, reads);
        for (auto& member : f.members_)
            member->faults_ = nullptr;
        f.run_for(300);
        std::vector<std::unique_ptr<test_caller>> writers;
        writers.reserve(6);
        for (int i = 0; i < 6; ++i)
            writers.push_back(f.open("own"));
        for (auto& writer : writers)
            writer->send_statement("WRITE later v");
        f.run_for(100);
        for (const auto& ran : f.primary().ran_)
        {
            if (ran.statement_.kind_ == statement_kind::write)
                CPPUNIT_ASSERT_EQUAL(std::uint64_t{0}, ran.transaction_);
        }
    }

    void an_idle_transaction_is_rolled_back()
    {
        session_fixture f(through_home());
        auto user = f.open("own");
        f.execute(*user, "BEGIN");
        f.execute(*user, "WRITE a 1");
        f.run_for(500);
        CPPUNIT_ASSERT(
            failed_with(f.execute(*user, "COMMIT"), reply_error::aborted));
        CPPUNIT_ASSERT(user->replies_.back().state_ == transaction_state::idle);
        CPPUNIT_ASSERT(f.primary().asked_.back().kind_ ==
                       statement_kind::rollback);
    }

    void a_disconnect_rolls_the_transaction_back()
    {
        session_fixture f(through_home());
        auto user = f.open("own");
        f.execute(*user, "BEGIN");
        f.execute(*user, "WRITE a 1");
        user.reset();
        CPPUNIT_ASSERT(f.until(
            [&]
            {
                return f.primary().asked_.back().kind_ ==
                       statement_kind::rollback;
            }));
    }

    void a_failed_transaction_accepts_only_its_end()
    {
        session_fixture f(through_home());
        auto user = f.open("own");
        f.execute(*user, "BEGIN");
        f.execute(*user, "READ a");
        f.primary().close_connections();
        f.run_for(20);
        f.execute(*user, "READ b");
        CPPUNIT_ASSERT(user->replies_.back().state_ ==
                       transaction_state::failed);
        CPPUNIT_ASSERT(
            failed_with(f.execute(*user, "READ c"), reply_error::malformed));
        reply end = f.execute(*user, "ROLLBACK");
        CPPUNIT_ASSERT(!end.error_ && end.state_ == transaction_state::idle);
        CPPUNIT_ASSERT(!f.execute(*user, "READ d").error_);
    }

    void invalid_statements_do_not_end_the_session()
    {
        session_fixture f(through_home());
        auto user = f.open("own");
        for (const char* odd :
             {"DROP x", "COMMIT", "ROLLBACK", "STATUS", "PAUSE 9", "DISCARD",
              "RESUME", "AFTERLSN 9.9 READ a", "BEGIN NOW", ""})
        {
            reply got = f.execute(*user, odd);
            CPPUNIT_ASSERT_MESSAGE(odd,
                                   failed_with(got, reply_error::malformed));
            CPPUNIT_ASSERT(got.state_ == transaction_state::idle);
        }
        CPPUNIT_ASSERT(!f.execute(*user, "READ a").error_);
    }

    void a_silent_primary_is_reported()
    {
        session_fixture f(through_home());
        std::optional<primary_health> seen;
        f.server_->on_health_ =
            [&seen](const std::string&, const primary_health& health)
        {
            if (health.unanswered_since_ != never)
                seen = health;
        };
        f.primary().faults_ = [](const statement&)
        {
            return std::optional(session_endpoint::fault{.silent_ = true});
        };
        auto user = f.open("strict");
        user->send_statement("READ a");
        CPPUNIT_ASSERT(f.until(
            [&]
            {
                return seen.has_value();
            }));
        CPPUNIT_ASSERT_EQUAL(std::string("m1"), seen->endpoint_id_);
    }

    // Guards against a transaction that is rolled back too early at a planned
    // stop (DRAIN): its time was half of what sessions have, which is less than
    // the grace period.
    void open_transactions_have_half_of_the_grace_period()
    {
        drain_limits expected{.sessions_ms_ = 5400, .transactions_ms_ = 3000};
        CPPUNIT_ASSERT(drain_limits_within(6000) == expected);
    }

    void a_drain_interrupts_no_transaction()
    {
        session_fixture f(through_home());
        auto busy = f.open("own");
        auto idle = f.open("own");
        f.execute(*busy, "BEGIN");
        f.execute(*busy, "WRITE a 1");
        bool drained = false;
        f.callers_server().drain(
            {.sessions_ms_ = 6000, .transactions_ms_ = 3000},
            [&drained]
            {
                drained = true;
            });
        f.run_for(100);
        CPPUNIT_ASSERT(!f.execute(*busy, "COMMIT").error_);
        // The load balancer sends callers until it detects the drain.
        auto late = f.open("own");
        CPPUNIT_ASSERT(!f.execute(*late, "READ a").error_);
        instant end = monotonic_now() + 4000;
        while (!drained && monotonic_now() < end)
            f.loop_.run_one_for(std::chrono::milliseconds(5));
        CPPUNIT_ASSERT(drained);
        f.run_for(50);
        CPPUNIT_ASSERT(idle->ended_ && busy->ended_ && late->ended_);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(session_flow_test);

// The same tests through a home: callers must not notice a difference.
class session_flow_through_home_test : public session_flow_test
{
    CPPUNIT_TEST_SUB_SUITE(session_flow_through_home_test, session_flow_test);
    CPPUNIT_TEST_SUITE_END();

    bool through_home() const override
    {
        return true;
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(session_flow_through_home_test);

} // namespace
} // namespace tanagerspan
