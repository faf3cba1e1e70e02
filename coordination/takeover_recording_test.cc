// Tests of takeover attempts whose row names an order that is never sent.

#include <algorithm>

#include "coordination/takeover.h"
#include "coordination/takeover_row.h"
#include "testing/check.h"

namespace tanagerspan
{
namespace
{

using kind = takeover_action::kind;

class takeover_recording_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(takeover_recording_test);
    CPPUNIT_TEST(an_order_that_is_not_sent_does_not_stay_in_the_row);
    CPPUNIT_TEST(no_order_is_sent_for_logs_that_an_endpoint_may_exceed);
    CPPUNIT_TEST(endpoints_are_listed_once_more_after_the_row_is_stored);
    CPPUNIT_TEST(the_row_gets_the_term_of_the_promotion);
    CPPUNIT_TEST_SUITE_END();

    static endpoint_status replica_status(std::uint64_t paused_by_term)
    {
        return {
            .term_ = 1, .received_ = {1, 5}, .paused_by_term_ = paused_by_term};
    }

    static std::size_t count(const std::vector<takeover_action>& actions,
                             kind what)
    {
        std::size_t out = 0;
        for (const auto& one : actions)
            out += one.kind_ == what ? 1 : 0;
        return out;
    }

    /// An attempt that waits until the row of its order for "a" or "b" is
    /// written. The primary "p" does not answer. `row_term` is the term that
    /// the row of an earlier attempt has.
    static takeover recording(std::uint64_t row_term = 0)
    {
        std::uint64_t pause_term = std::max<std::uint64_t>(row_term, 1) + 1;
        takeover attempt({}, {.reason_ = takeover_reason::silent,
                              .primary_id_ = "p",
                              .members_ = {{"p"}, {"a"}, {"b"}},
                              .floor_ = {1, 5},
                              .term_ = row_term,
                              .claimed_at_ = instant{0}});
        attempt.start(instant{0});
        attempt.on_status("p", std::nullopt, instant{1});
        for (const char* id : {"a", "b"})
            attempt.on_status(id, replica_status(0), instant{1});
        attempt.on_members_listed(instant{2}, instant{2});
        attempt.on_status("a", replica_status(pause_term), instant{2});
        auto last =
            attempt.on_status("b", replica_status(pause_term), instant{2});
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), count(last, kind::record_target));
        CPPUNIT_ASSERT_EQUAL(std::size_t(0), count(last, kind::order));
        return attempt;
    }

    // Seen on a day with a crashed primary that came back under another id
    // while the row was being written: the attempt wrote its end at once, was
    // refused because of the row's version, and the row kept the order that
    // was not sent. Seconds later the next attempt completed it and discarded
    // what the returned primary had acknowledged.
    void an_order_that_is_not_sent_does_not_stay_in_the_row()
    {
        enum class event
        {
            other_primary,
            lease_over
        };
        for (event what : {event::other_primary, event::lease_over})
        {
            for (bool recorded : {true, false})
            {
                takeover attempt = recording();
                instant now{3};
                std::vector<takeover_action> out;

                if (what == event::other_primary)
                    out = attempt.on_status(
                        "a", endpoint_status{.primary_ = true, .term_ = 2},
                        now);
                if (what == event::lease_over)
                {
                    now = instant{60'000};
                    out = attempt.tick(now);
                }
                // The end is written after the row of the order.
                CPPUNIT_ASSERT(out.empty());
                CPPUNIT_ASSERT(!attempt.finished());
                out = attempt.on_target_recorded(recorded, now);
                CPPUNIT_ASSERT_EQUAL(std::size_t(0), count(out, kind::order));
                CPPUNIT_ASSERT_EQUAL(std::size_t(1),
                                     count(out, kind::record_end) +
                                         count(out, kind::finish));
                CPPUNIT_ASSERT(!attempt.pending_at(now).ordered_);
            }
        }
    }

    // The endpoint joined while the row was being written.
    void no_order_is_sent_for_logs_that_an_endpoint_may_exceed()
    {
        takeover attempt = recording();
        attempt.on_joined("c", instant{3});
        auto out = attempt.on_target_recorded(true, instant{4});
        CPPUNIT_ASSERT_EQUAL(std::size_t(0), count(out, kind::order));
        CPPUNIT_ASSERT_EQUAL(std::size_t(3), count(out, kind::pause));
        CPPUNIT_ASSERT(!attempt.pending_at(instant{4}).ordered_);
    }

    // Guards against the loss of an acknowledged change (LOST): a crashed
    // primary came back under another id after the list was read, and an
    // endpoint that joined confirmed its changes before the order was sent.
    void endpoints_are_listed_once_more_after_the_row_is_stored()
    {
        takeover attempt = recording();
        auto out = attempt.on_target_recorded(true, instant{4});
        CPPUNIT_ASSERT_EQUAL(std::size_t(0), count(out, kind::order));
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), count(out, kind::list_members));
        // An earlier list does not count.
        CPPUNIT_ASSERT(
            attempt.on_members_listed(instant{3}, instant{4}).empty());
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), count(attempt.tick(instant{400}),
                                                   kind::list_members));
        attempt.on_joined("r", instant{401});
        out = attempt.on_members_listed(instant{400}, instant{401});
        CPPUNIT_ASSERT_EQUAL(std::size_t(0), count(out, kind::order));
        CPPUNIT_ASSERT_EQUAL(std::size_t(3), count(out, kind::pause));
    }

    // Seen on the same day: the row of an order that was never sent had term
    // 3, so the next attempt recorded term 4, but its promotion started term
    // 3. No log ever reached term 4, and no endpoint could be promoted again.
    void the_row_gets_the_term_of_the_promotion()
    {
        takeover attempt = recording(2);
        attempt.on_target_recorded(true, instant{3});
        auto ordered = attempt.on_members_listed(instant{3}, instant{3});
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), count(ordered, kind::order));
        std::string target = ordered[0].endpoint_id_;
        takeover_row row = make_order_row({.token_ = 3, .term_ = 2}, target, 3,
                                          {1, 5}, 10'000);
        attempt.on_ordered(takeover::order_outcome::done, instant{4});
        endpoint_status promoted{
            .primary_ = true, .term_ = 2, .received_ = {1, 5}};
        auto out = attempt.on_status(target, promoted, instant{700});
        CPPUNIT_ASSERT(!out.empty());
        row = make_end_row(row, target, attempt.pending_at(instant{700}),
                           out[0].term_);
        CPPUNIT_ASSERT_EQUAL(std::uint64_t(2), row.term_);

        // All endpoints have a log of the promoted term.
        promotion_evidence later{
            .logs_ = {}, .floor_ = row.floor_, .floor_term_ = row.term_};
        for (const char* id : {"a", "b"})
            later.logs_.push_back({.id_ = id,
                                   .received_ = log_position{2, 9},
                                   .term_ = 2,
                                   .fixed_ = true});
        CPPUNIT_ASSERT(!choose_promotion(later).id_.empty());
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(takeover_recording_test);

} // namespace
} // namespace tanagerspan
