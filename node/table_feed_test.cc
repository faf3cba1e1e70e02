// Tests of table_feed against an in-memory store with failures.

#include <chrono>
#include <thread>
#include <vector>

#include "node/endpoint_group.h"
#include "node/fleet_control.h"
#include "node/table_feed.h"
#include "testing/check.h"
#include "transport/monotonic_clock.h"

namespace tanagerspan
{
namespace
{

/// Records every call without answering; the test supplies the answers.
struct held_store final : table_store
{
    struct question
    {
        std::int64_t after_ = 0;
        std::int64_t wait_ms_ = 0;
        snapshot_handler done_;
    };
    std::vector<question> lists_;
    std::vector<question> watches_;

    void list(const std::string&, snapshot_handler done) override
    {
        lists_.push_back({.done_ = std::move(done)});
    }
    void watch(const std::string&, std::int64_t after, std::int64_t wait_ms,
               snapshot_handler done) override
    {
        watches_.push_back({after, wait_ms, std::move(done)});
    }
    void transact(const table_transaction&, answer_handler) override
    {
    }

    /// Answers the last call. The handler may issue the next one.
    static void answer(const std::vector<question>& asked,
                       result<table_snapshot> with)
    {
        auto done = asked.back().done_;
        done(std::move(with));
    }
};

table_row row(const std::string& key, bool removed = false)
{
    return {.table_ = "t", .key_ = key, .removed_ = removed};
}

class table_feed_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(table_feed_test);
    CPPUNIT_TEST(changes_are_followed);
    CPPUNIT_TEST(after_a_failure_an_answer_is_wanted_at_once);
    CPPUNIT_TEST(lost_history_is_listed_again);
    CPPUNIT_TEST(a_series_of_changes_is_asked_for_less_often);
    CPPUNIT_TEST(an_endpoint_that_leaves_is_left_in_time);
    CPPUNIT_TEST_SUITE_END();

    boost::asio::io_context loop_{1};
    held_store store_;
    std::size_t rows_ = 0;
    std::unique_ptr<table_feed> feed_;

public:
    void setUp() override
    {
        feed_ = std::make_unique<table_feed>(
            loop_, store_, table_feed::options{.table_ = "t"},
            [this](const std::map<std::string, table_row>& rows)
            {
                rows_ = rows.size();
            });
        feed_->start();
        held_store::answer(store_.lists_,
                           table_snapshot{.rows_ = {row("a")}, .version_ = 5});
    }

private:
    void wait_for_watch(std::size_t count)
    {
        instant end = monotonic_now() + 2000;
        while (store_.watches_.size() < count && monotonic_now() < end)
        {
            loop_.restart();
            loop_.run_one_for(std::chrono::milliseconds(10));
        }
        CPPUNIT_ASSERT_EQUAL(count, store_.watches_.size());
    }

    void changes_are_followed()
    {
        CPPUNIT_ASSERT_EQUAL(std::int64_t{5}, store_.watches_.back().after_);
        held_store::answer(store_.watches_,
                           table_snapshot{.rows_ = {row("b")}, .version_ = 7});
        CPPUNIT_ASSERT_EQUAL(std::size_t{2}, rows_);
        held_store::answer(
            store_.watches_,
            table_snapshot{.rows_ = {row("a", true)}, .version_ = 8});
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, rows_);
        CPPUNIT_ASSERT_EQUAL(std::int64_t{8}, store_.watches_.back().after_);
    }

    // Regression: a watch sent while the store was unresponsive was never
    // answered, and a new version of the settings went unnoticed for 15 s.
    void after_a_failure_an_answer_is_wanted_at_once()
    {
        held_store::answer(store_.watches_, fail(error_code::lost));
        wait_for_watch(2);
        CPPUNIT_ASSERT_EQUAL(std::int64_t{0}, store_.watches_.back().wait_ms_);
        held_store::answer(store_.watches_, table_snapshot{.version_ = 6});
        wait_for_watch(3);
        CPPUNIT_ASSERT(store_.watches_.back().wait_ms_ > 0);
    }

    void lost_history_is_listed_again()
    {
        held_store::answer(store_.watches_, fail(error_code::compacted));
        CPPUNIT_ASSERT_EQUAL(std::size_t{2}, store_.lists_.size());
        held_store::answer(
            store_.lists_,
            table_snapshot{.rows_ = {row("x"), row("y")}, .version_ = 9});
        CPPUNIT_ASSERT_EQUAL(std::size_t{2}, rows_);
        CPPUNIT_ASSERT_EQUAL(std::int64_t{9}, store_.watches_.back().after_);
    }

    // Regression: when a fleet starts, entries change for several seconds, and
    // each host made one call per change: 15 of the 47 calls that a host made
    // in a day.
    void a_series_of_changes_is_asked_for_less_often()
    {
        constexpr std::int64_t gap = 20;
        feed_ = std::make_unique<table_feed>(
            loop_, store_,
            table_feed::options{
                .table_ = "t", .gap_ms_ = gap, .longest_gap_ms_ = 4 * gap},
            [](const std::map<std::string, table_row>&) {});
        feed_->start();
        held_store::answer(store_.lists_, table_snapshot{.version_ = 5});
        std::int64_t version = 5;
        std::vector<std::int64_t> gaps;
        for (int i = 0; i < 5; ++i)
        {
            std::size_t asked = store_.watches_.size();
            instant answered = monotonic_now();
            held_store::answer(
                store_.watches_,
                table_snapshot{.rows_ = {row("a")}, .version_ = ++version});
            wait_for_watch(asked + 1);
            gaps.push_back(monotonic_now() - answered);
        }
        CPPUNIT_ASSERT(gaps[0] >= gap);
        CPPUNIT_ASSERT(gaps[2] >= 4 * gap);
        CPPUNIT_ASSERT(gaps[4] >= 4 * gap);
        // After a quiet period the delay starts from the initial gap again.
        instant quiet_until = monotonic_now() + 5 * gap;
        while (monotonic_now() < quiet_until)
            std::this_thread::sleep_for(std::chrono::milliseconds(10));
        std::size_t asked = store_.watches_.size();
        instant answered = monotonic_now();
        held_store::answer(
            store_.watches_,
            table_snapshot{.rows_ = {row("a")}, .version_ = ++version});
        wait_for_watch(asked + 1);
        CPPUNIT_ASSERT(monotonic_now() - answered < 4 * gap);
    }

    // Regression: with longer gaps, a leaving primary without a successor was
    // still used 7.5 s after it had announced its leave.
    void an_endpoint_that_leaves_is_left_in_time()
    {
        constexpr std::int64_t shortest_drain_ms = 7000;
        constexpr std::int64_t busy_store_ms = 500;
        CPPUNIT_ASSERT(endpoint_group::options{}.leaving_ms_ +
                           fleet_control::longest_entries_gap_ms +
                           busy_store_ms <=
                       shortest_drain_ms);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(table_feed_test);

} // namespace
} // namespace tanagerspan
