// Tests of sessions whose callers send many statements ahead, with real sockets
// on loopback and stand-in endpoints on one event loop.

#include <algorithm>

#include "node/session_fixture_test.h"

namespace tanagerspan
{
namespace
{

class session_input_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(session_input_test);
    CPPUNIT_TEST(statements_sent_ahead_leave_the_loop_to_others);
    CPPUNIT_TEST(statements_beyond_the_input_limit_are_answered_in_order);
    CPPUNIT_TEST(a_drain_answers_what_was_sent_ahead);
    CPPUNIT_TEST(a_disconnect_ends_what_was_sent_ahead);
    CPPUNIT_TEST_SUITE_END();

    static void delay_reads(session_fixture& f, std::int64_t delay_ms)
    {
        for (auto& member : f.members_)
        {
            member->faults_ = [delay_ms](const statement& what)
            {
                return what.kind_ == statement_kind::read
                           ? std::optional(
                                 session_endpoint::fault{.delay_ms_ = delay_ms})
                           : std::nullopt;
            };
        }
    }

    static std::uint64_t statements_of(const session_fixture& f)
    {
        constexpr std::string_view name = "tanager_statements_total ";
        std::string text = f.server_->metrics();
        return std::stoull(text.substr(text.find(name) + name.size()));
    }

    /// A read, and behind it statements that the session answers itself, each
    /// with its number. `padding`: bytes that are added to each.
    static std::string read_and_numbered(int count, std::size_t padding)
    {
        std::string out = "QUERY f READ x\r\n";
        for (int number = 0; number < count; ++number)
            out += "QUERY 1 EXECUTE s" + std::to_string(number) + " " +
                   std::string(padding, 'x') + "\r\n";
        return out;
    }

    static bool are_answered_in_order(const test_caller& from, int count)
    {
        // The first replies are those to the opening and to the read.
        if (from.replies_.size() != std::size_t(count) + 2 ||
            from.replies_[1].error_)
            return false;
        for (int number = 0; number < count; ++number)
        {
            if (from.replies_[std::size_t(number) + 2].text_ !=
                "s" + std::to_string(number))
                return false;
        }
        return true;
    }

    // Guards against a proxy that answers nobody (Fault): a session processed
    // all statements that had arrived during a slow one in one turn of the
    // event loop.
    void statements_sent_ahead_leave_the_loop_to_others()
    {
        constexpr int count = 2000;
        constexpr std::uint64_t max_in_one_turn = 200;
        session_fixture f;
        delay_reads(f, 100);
        auto flood = f.open("own");
        flood->stream_->send(read_and_numbered(count, 1));
        std::uint64_t most = 0;
        instant end = monotonic_now() + 5000;
        while (flood->replies_.size() < std::size_t(count) + 2 &&
               monotonic_now() < end)
        {
            std::uint64_t before = statements_of(f);
            f.loop_.run_one_for(std::chrono::milliseconds(5));
            most = std::max(most, statements_of(f) - before);
        }
        CPPUNIT_ASSERT(are_answered_in_order(*flood, count));
        CPPUNIT_ASSERT_MESSAGE(std::to_string(most), most <= max_in_one_turn);
    }

    // Regression: a session whose caller sent more than 2 MiB ahead was closed,
    // and up to 2 MiB were buffered for each session.
    void statements_beyond_the_input_limit_are_answered_in_order()
    {
        constexpr int count = 3000;
        constexpr std::size_t padding = 1024;
        session_fixture f;
        delay_reads(f, 100);
        auto user = f.open("own");
        user->stream_->send(read_and_numbered(count, padding));
        f.until(
            [&]
            {
                return user->ended_ ||
                       user->replies_.size() >= std::size_t(count) + 2;
            });
        CPPUNIT_ASSERT(!user->ended_);
        CPPUNIT_ASSERT(are_answered_in_order(*user, count));
        CPPUNIT_ASSERT(!f.execute(*user, "READ a").error_);
    }

    // Guards against statements that are lost in a drain: those that are not
    // read from the socket yet, while the session is idle.
    void a_drain_answers_what_was_sent_ahead()
    {
        constexpr std::int64_t until_sessions_close_ms = 2600;
        constexpr std::int64_t delay_ms = 200;
        constexpr int count = 1500;
        for (std::size_t padding : {1, 1024})
        {
            session_fixture f;
            delay_reads(f, delay_ms);
            auto user = f.open("own");
            bool drained = false;
            f.server_->drain({.sessions_ms_ = 6000, .transactions_ms_ = 3000},
                             [&drained]
                             {
                                 drained = true;
                             });
            f.run_for(until_sessions_close_ms - delay_ms);
            user->stream_->send(read_and_numbered(count, padding));
            f.until(
                [&]
                {
                    return user->ended_;
                });
            CPPUNIT_ASSERT(are_answered_in_order(*user, count));
            CPPUNIT_ASSERT(f.until(
                [&]
                {
                    return drained;
                }));
        }
    }

    // Guards against work for a caller that is gone: while a session does not
    // read from its socket, it must notice the end by its replies.
    void a_disconnect_ends_what_was_sent_ahead()
    {
        constexpr int count = 3000;
        constexpr std::size_t padding = 1000;
        constexpr std::size_t few = 5;
        session_fixture f;
        delay_reads(f, 10);
        auto user = f.open("own");
        std::string ahead;
        for (int number = 0; number < count; ++number)
            ahead += "QUERY 1 READ k " + std::string(padding, 'x') + "\r\n";
        user->stream_->send(ahead);
        CPPUNIT_ASSERT(f.until(
            [&]
            {
                return user->replies_.size() >= 3;
            }));
        auto reads = [&f]
        {
            std::size_t out = 0;
            for (const auto& member : f.members_)
                out += member->ran_.size();
            return out;
        };
        std::size_t before = reads();
        user.reset();
        f.run_for(500);
        CPPUNIT_ASSERT_MESSAGE(std::to_string(reads() - before),
                               reads() - before <= few);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(session_input_test);

} // namespace
} // namespace tanagerspan
