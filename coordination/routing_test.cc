// Tests of choosing an endpoint that is fresh enough for a read, and of
// replaying a session's state to a connection.

#include "coordination/endpoint_choice.h"
#include "coordination/freshness_marks.h"
#include "coordination/session_replay.h"
#include "testing/check.h"

namespace tanagerspan
{
namespace
{

/// The endpoint's side of a connection: applies statements to its state.
struct fake_connection
{
    std::map<std::string, std::string> values_;
    std::map<std::string, prepared_statement> prepared_;

    void run(const statement& what)
    {
        if (what.kind_ == statement_kind::discard)
        {
            values_.clear();
            prepared_.clear();
        }
        if (what.kind_ == statement_kind::set_value)
            values_[what.name_] = what.arguments_;
        if (what.kind_ == statement_kind::prepare)
            prepared_[what.name_] = {what.writes_, what.arguments_};
    }
};

session_state any_session()
{
    session_state out;
    int values = *rc::gen::inRange(0, 4);
    for (int i = 0; i < values; ++i)
        out.values_["v" + std::to_string(*rc::gen::inRange(0, 4))] =
            std::to_string(*rc::gen::inRange(0, 3));
    int shapes = *rc::gen::inRange(0, 3);
    for (int i = 0; i < shapes; ++i)
        out.prepared_["s" + std::to_string(i)] = {
            *rc::gen::arbitrary<bool>(),
            "q" + std::to_string(*rc::gen::inRange(0, 4))};
    return out;
}

class routing_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(routing_test);
    CPPUNIT_TEST(a_mark_covers_earlier_commits);
    CPPUNIT_TEST(marks_are_bounded);
    CPPUNIT_TEST(a_shared_connection_has_the_sessions_state);
    CPPUNIT_TEST(an_up_to_date_connection_needs_no_replay);
    CPPUNIT_TEST(a_leaving_endpoint_gets_no_read_while_another_stays);
    CPPUNIT_TEST(a_lagging_replica_is_skipped_until_it_caught_up);
    CPPUNIT_TEST(a_suspected_endpoint_is_used_if_no_other_is_left);
    CPPUNIT_TEST_SUITE_END();

    // A log grows, and requests are answered at any later time. The mark for
    // `since` must cover every commit acknowledged before it.
    void a_mark_covers_earlier_commits()
    {
        CHECK_PROPERTY(
            "a mark covers all commits acknowledged before",
            []
            {
                freshness_marks marks({});
                std::map<std::int64_t, std::uint64_t> acknowledged; // by ms
                std::uint64_t log = 0;
                std::int64_t now = 0;
                int steps = *rc::gen::inRange(1, 60);
                for (int i = 0; i < steps; ++i)
                {
                    now += *rc::gen::inRange(1, 30);
                    if (*rc::gen::arbitrary<bool>())
                        acknowledged[now] = ++log;
                    else
                    {
                        // The answer may include commits after the request.
                        std::int64_t asked =
                            now - *rc::gen::inRange<std::int64_t>(0, 20);
                        marks.add(instant{asked}, {1, log});
                    }
                    std::int64_t since =
                        now - *rc::gen::inRange<std::int64_t>(0, 200);
                    auto mark = marks.covering(instant{since});
                    if (!mark)
                        continue;
                    for (const auto& [at, index] : acknowledged)
                    {
                        if (at < since)
                            RC_ASSERT(index <= mark->position_.index_);
                    }
                }
            });
    }

    void marks_are_bounded()
    {
        freshness_marks marks({});
        for (std::int64_t ms = 0; ms < 100'000; ++ms)
            marks.add(instant{ms}, {1, std::uint64_t(ms)});
        CPPUNIT_ASSERT(marks.size() <= 10'000 / 20 + 2);
        CPPUNIT_ASSERT_EQUAL(std::int64_t{99'999}, marks.newest()->ms_);
    }

    // Regression: values that another session had set were visible.
    void a_shared_connection_has_the_sessions_state()
    {
        CHECK_PROPERTY(
            "the connection has the session's state",
            []
            {
                fake_connection connection;
                connection_state assumed;
                int statements = *rc::gen::inRange(1, 30);
                for (int i = 0; i < statements; ++i)
                {
                    session_state session = any_session();
                    const prepared_statement* shape =
                        session.prepared_.empty()
                            ? nullptr
                            : &session.prepared_.begin()->second;
                    for (const auto& one :
                         replay_statements(session, shape, assumed))
                        connection.run(one);
                    RC_ASSERT(connection.values_ == session.values_);
                    if (shape != nullptr)
                        RC_ASSERT(connection.prepared_.at(
                                      assumed.prepared_.at(*shape)) == *shape);
                }
            });
    }

    void an_up_to_date_connection_needs_no_replay()
    {
        CHECK_PROPERTY(
            "a second replay is empty",
            []
            {
                session_state session = any_session();
                connection_state have;
                replay_statements(session, nullptr, have);
                RC_ASSERT(replay_cost(session, have) == 0U);
                RC_ASSERT(replay_statements(session, nullptr, have).empty());
            });
    }

    void a_leaving_endpoint_gets_no_read_while_another_stays()
    {
        // Regression: the other endpoints had no idle connection, and reads
        // went to the leaving endpoint.
        std::vector<endpoint_candidate> all{
            {.leaving_ = true, .connection_available_ = true},
            {.connection_available_ = false}};
        CPPUNIT_ASSERT(!choose_for_read(all, std::nullopt, {}, instant{0}));
        all[1].leaving_ = true;
        CPPUNIT_ASSERT(choose_for_read(all, std::nullopt, {}, instant{0}) ==
                       std::size_t{0});
    }

    void a_lagging_replica_is_skipped_until_it_caught_up()
    {
        std::vector<endpoint_candidate> all{
            {.connection_available_ = true, .lag_ms_ = 100}};
        position_requirement need{{2, 7}, instant{1000}};
        CPPUNIT_ASSERT(!choose_for_read(all, need, {}, instant{1050}));
        CPPUNIT_ASSERT(choose_for_read(all, need, {}, instant{1100}));
        all[0].last_position_ = {2, 7};
        CPPUNIT_ASSERT(choose_for_read(all, need, {}, instant{1001}));
    }

    void a_suspected_endpoint_is_used_if_no_other_is_left()
    {
        std::vector<endpoint_candidate> all{
            {.connection_available_ = true, .avoided_until_ = instant{500}},
            {.connection_available_ = true, .mean_response_ms_ = 900}};
        CPPUNIT_ASSERT(choose_for_read(all, std::nullopt, {}, instant{0}) ==
                       std::size_t{1});
        std::array<std::size_t, 1> tried{1};
        CPPUNIT_ASSERT(choose_for_read(all, std::nullopt, tried, instant{0}) ==
                       std::size_t{0});
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(routing_test);

} // namespace
} // namespace tanagerspan
