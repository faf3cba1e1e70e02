// Tests of work for the primary while a promotion order may take effect.

#include "node/session_fixture_test.h"

namespace tanagerspan
{
namespace
{

class pending_promotion_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(pending_promotion_test);
    CPPUNIT_TEST(primary_that_is_being_replaced_gets_no_writes);
    CPPUNIT_TEST(hold_ends_when_the_order_can_no_longer_take_effect);
    CPPUNIT_TEST(ordered_endpoint_gets_writes);
    CPPUNIT_TEST(reads_of_replicas_go_on);
    CPPUNIT_TEST(change_that_a_promotion_may_discard_is_in_doubt);
    CPPUNIT_TEST(changes_wait_for_the_rows_after_a_silence);
    CPPUNIT_TEST(changes_wait_for_the_rows_after_a_restart);
    CPPUNIT_TEST(commit_that_a_silent_primary_confirmed_waits_for_the_rows);
    CPPUNIT_TEST(commit_waits_for_the_rows_no_longer_than_its_timeout);
    CPPUNIT_TEST_SUITE_END();

    static constexpr std::int64_t silence_ms = 700;

    /// A proxy that asks for the takeover rows. The test answers.
    struct rows_fixture : session_fixture
    {
        std::unique_ptr<traffic_server> proxy_;
        std::size_t asked_ = 0;

        rows_fixture()
        {
            routes_->by_database_["strict"].timeout_ms_ = 1500;
            proxy_ = start_server({"proxy", "a", ""});
            proxy_->on_rows_needed_ = [this]
            {
                ++asked_;
            };
            publish_to(*proxy_,
                       {.is_home_ = true, .connections_per_endpoint_ = 9});
        }

        void silence_primary()
        {
            primary().faults_ =
                [](const statement&) -> std::optional<session_endpoint::fault>
            {
                return session_endpoint::fault{.silent_ = true};
            };
        }

        bool has_reply(test_caller& caller, std::size_t after)
        {
            return until(
                [&]
                {
                    return caller.replies_.size() > after;
                });
        }
    };

    static void set_pending(session_fixture& fixture, const std::string& id)
    {
        constexpr std::int64_t longer_than_the_test_ms = 10'000;
        fixture.server_->set_pending_promotion(
            "svc", {id, monotonic_now() + longer_than_the_test_ms});
    }

    // Guards against the loss of an acknowledged change (LOST): a primary that
    // came back confirmed writes after another endpoint had been ordered to
    // take over, and the late promotion discarded them.
    void primary_that_is_being_replaced_gets_no_writes()
    {
        session_fixture fixture;
        auto caller = fixture.open("strict");
        CPPUNIT_ASSERT(!fixture.execute(*caller, "WRITE k v").error_);
        set_pending(fixture, "m2");
        std::size_t replies = caller->replies_.size();
        caller->send_statement("WRITE k w");
        fixture.run_for(100);
        CPPUNIT_ASSERT_EQUAL(replies, caller->replies_.size());
        fixture.server_->set_pending_promotion("svc", {});
        CPPUNIT_ASSERT(fixture.until(
            [&]
            {
                return caller->replies_.size() > replies;
            }));
        CPPUNIT_ASSERT(!caller->replies_.back().error_);
    }

    void hold_ends_when_the_order_can_no_longer_take_effect()
    {
        session_fixture fixture;
        auto caller = fixture.open("strict");
        fixture.server_->set_pending_promotion("svc", {"m2", monotonic_now()});
        CPPUNIT_ASSERT(!fixture.execute(*caller, "WRITE k v").error_);
    }

    void ordered_endpoint_gets_writes()
    {
        session_fixture fixture;
        auto caller = fixture.open("strict");
        set_pending(fixture, "m1");
        CPPUNIT_ASSERT(!fixture.execute(*caller, "WRITE k v").error_);
    }

    // Guards against the loss of an acknowledged change (LOST): a primary that
    // was being replaced confirmed a write that was under way before the order,
    // and the caller was told of a success.
    void change_that_a_promotion_may_discard_is_in_doubt()
    {
        constexpr std::int64_t confirmed_after_ms = 200;
        session_fixture fixture;
        auto caller = fixture.open("strict");
        CPPUNIT_ASSERT(!fixture.execute(*caller, "WRITE k v").error_);
        fixture.primary().faults_ =
            [](const statement& what) -> std::optional<session_endpoint::fault>
        {
            if (what.kind_ != statement_kind::write)
                return std::nullopt;
            return session_endpoint::fault{.delay_ms_ = confirmed_after_ms};
        };
        std::size_t replies = caller->replies_.size();
        caller->send_statement("WRITE k w");
        fixture.run_for(confirmed_after_ms / 2);
        set_pending(fixture, "m2");
        CPPUNIT_ASSERT(fixture.until(
            [&]
            {
                return caller->replies_.size() > replies;
            }));
        CPPUNIT_ASSERT(caller->replies_.back().error_ == reply_error::in_doubt);
    }

    // Guards against the loss of an acknowledged change (LOST), as the next
    // three: a host to which the store was silent gave work to a primary that
    // had been silent while others ordered its replacement.
    void changes_wait_for_the_rows_after_a_silence()
    {
        rows_fixture f;
        auto caller = f.open("strict");
        CPPUNIT_ASSERT(!f.execute(*caller, "WRITE k v").error_);
        CPPUNIT_ASSERT_EQUAL(std::size_t{0}, f.asked_);
        f.silence_primary();
        auto other = f.open("strict");
        other->send_statement("READ k");
        f.run_for(silence_ms);
        f.primary().faults_ = nullptr;
        std::size_t replies = caller->replies_.size();
        caller->send_statement("WRITE k w");
        f.run_for(200);
        CPPUNIT_ASSERT_EQUAL(replies, caller->replies_.size());
        CPPUNIT_ASSERT(f.asked_ > 0);
        // An earlier call does not count.
        f.proxy_->on_rows_read(monotonic_now() - silence_ms);
        f.run_for(100);
        CPPUNIT_ASSERT_EQUAL(replies, caller->replies_.size());
        f.proxy_->on_rows_read(monotonic_now());
        CPPUNIT_ASSERT(f.has_reply(*caller, replies));
        CPPUNIT_ASSERT(!caller->replies_.back().error_);
    }

    void changes_wait_for_the_rows_after_a_restart()
    {
        rows_fixture f;
        auto caller = f.open("strict");
        CPPUNIT_ASSERT(!f.execute(*caller, "WRITE k v").error_);
        f.primary().close_connections();
        f.run_for(100);
        std::size_t replies = caller->replies_.size();
        caller->send_statement("WRITE k w");
        f.run_for(200);
        CPPUNIT_ASSERT_EQUAL(replies, caller->replies_.size());
        f.proxy_->on_rows_read(monotonic_now());
        CPPUNIT_ASSERT(f.has_reply(*caller, replies));
        CPPUNIT_ASSERT(!caller->replies_.back().error_);
    }

    void commit_that_a_silent_primary_confirmed_waits_for_the_rows()
    {
        for (bool replaced : {false, true})
        {
            rows_fixture f;
            auto caller = f.open("strict");
            CPPUNIT_ASSERT(!f.execute(*caller, "WRITE k v").error_);
            f.primary().faults_ =
                [](const statement&) -> std::optional<session_endpoint::fault>
            {
                return session_endpoint::fault{.delay_ms_ = silence_ms};
            };
            std::size_t replies = caller->replies_.size();
            caller->send_statement("WRITE k w");
            f.run_for(silence_ms + 200);
            CPPUNIT_ASSERT_EQUAL(replies, caller->replies_.size());
            if (replaced)
                f.proxy_->set_pending_promotion(
                    "svc", {"m2", monotonic_now() + 10'000});
            f.proxy_->on_rows_read(monotonic_now());
            CPPUNIT_ASSERT(f.has_reply(*caller, replies));
            auto error = caller->replies_.back().error_;
            CPPUNIT_ASSERT(replaced ? error == reply_error::in_doubt : !error);
        }
    }

    // The store stays silent.
    void commit_waits_for_the_rows_no_longer_than_its_timeout()
    {
        rows_fixture f;
        auto caller = f.open("strict");
        CPPUNIT_ASSERT(!f.execute(*caller, "WRITE k v").error_);
        f.primary().faults_ =
            [](const statement&) -> std::optional<session_endpoint::fault>
        {
            return session_endpoint::fault{.delay_ms_ = silence_ms};
        };
        std::size_t replies = caller->replies_.size();
        caller->send_statement("WRITE k w");
        CPPUNIT_ASSERT(f.has_reply(*caller, replies));
        CPPUNIT_ASSERT(caller->replies_.back().error_.has_value());
        CPPUNIT_ASSERT(caller->replies_.back().error_ != reply_error::busy);
        CPPUNIT_ASSERT(f.asked_ > 1);
    }

    void reads_of_replicas_go_on()
    {
        session_fixture fixture;
        auto caller = fixture.open("own");
        CPPUNIT_ASSERT(!fixture.execute(*caller, "READ k").error_);
        fixture.run_for(100); // a freshness mark arrives
        set_pending(fixture, "m2");
        CPPUNIT_ASSERT(!fixture.execute(*caller, "READ k").error_);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(pending_promotion_test);

} // namespace
} // namespace tanagerspan
