// Tests of table_feed against an in-memory store with failures.

#include <algorithm>
#include <chrono>
#include <thread>
#include <vector>

#include "node/table_feed.h"
#include "testing/check.h"
#include "transport/monotonic_clock.h"

namespace tanagerspan
{
namespace
{

/// Records every call without answering; the test supplies the answers.
struct manual_store final : table_store
{
    struct call
    {
        std::int64_t after_ = 0;
        std::int64_t wait_ms_ = 0;
        snapshot_handler done_;
    };
    std::vector<call> lists_;
    std::vector<call> watches_;

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
    static void answer(const std::vector<call>& calls,
                       result<table_snapshot> snapshot)
    {
        auto done = calls.back().done_;
        done(std::move(snapshot));
    }
};

table_row row(const std::string& key, bool removed = false)
{
    return {.table_ = "t", .key_ = key, .removed_ = removed};
}

class table_feed_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(table_feed_test);
    CPPUNIT_TEST(changes_are_applied);
    CPPUNIT_TEST(first_watch_after_failure_does_not_wait);
    CPPUNIT_TEST(compaction_causes_a_new_list);
    CPPUNIT_TEST(series_of_changes_is_batched);
    CPPUNIT_TEST(every_watch_ends_when_the_next_answer_is_due);
    CPPUNIT_TEST(watch_answer_older_than_a_refresh_is_ignored);
    CPPUNIT_TEST(refresh_older_than_a_watch_answer_is_ignored);
    CPPUNIT_TEST(age_of_a_change_is_known_from_watches_only);
    CPPUNIT_TEST(changes_are_never_dated_after_they_were_made);
    CPPUNIT_TEST_SUITE_END();

    boost::asio::io_context loop_{1};
    manual_store store_;
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
        manual_store::answer(
            store_.lists_, table_snapshot{.rows_ = {row("a")}, .version_ = 5});
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

    void changes_are_applied()
    {
        CPPUNIT_ASSERT_EQUAL(std::int64_t{5}, store_.watches_.back().after_);
        manual_store::answer(
            store_.watches_,
            table_snapshot{.rows_ = {row("b")}, .version_ = 7});
        CPPUNIT_ASSERT_EQUAL(std::size_t{2}, rows_);
        manual_store::answer(
            store_.watches_,
            table_snapshot{.rows_ = {row("a", true)}, .version_ = 8});
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, rows_);
        CPPUNIT_ASSERT_EQUAL(std::int64_t{8}, store_.watches_.back().after_);
    }

    // Regression: a watch sent while the store was unresponsive was never
    // answered, and a new version of the settings went unnoticed for 15 s.
    void first_watch_after_failure_does_not_wait()
    {
        manual_store::answer(store_.watches_, fail(error_code::lost));
        wait_for_watch(2);
        CPPUNIT_ASSERT_EQUAL(std::int64_t{0}, store_.watches_.back().wait_ms_);
        manual_store::answer(store_.watches_, table_snapshot{.version_ = 6});
        wait_for_watch(3);
        CPPUNIT_ASSERT(store_.watches_.back().wait_ms_ > 0);
    }

    void compaction_causes_a_new_list()
    {
        manual_store::answer(store_.watches_, fail(error_code::compacted));
        CPPUNIT_ASSERT_EQUAL(std::size_t{2}, store_.lists_.size());
        manual_store::answer(
            store_.lists_,
            table_snapshot{.rows_ = {row("x"), row("y")}, .version_ = 9});
        CPPUNIT_ASSERT_EQUAL(std::size_t{2}, rows_);
        CPPUNIT_ASSERT_EQUAL(std::int64_t{9}, store_.watches_.back().after_);
    }

    // Regression: when a fleet starts, entries change for several seconds, and
    // each host made one call per change: 15 of the 47 calls that a host made
    // in a day.
    void series_of_changes_is_batched()
    {
        constexpr std::int64_t initial_delay = 20;
        feed_ = std::make_unique<table_feed>(
            loop_, store_,
            table_feed::options{.table_ = "t",
                                .initial_delay_ms_ = initial_delay,
                                .max_delay_ms_ = 4 * initial_delay},
            [](const std::map<std::string, table_row>&) {});
        feed_->start();
        manual_store::answer(store_.lists_, table_snapshot{.version_ = 5});
        std::int64_t version = 5;
        std::vector<std::int64_t> delays;
        for (int i = 0; i < 5; ++i)
        {
            std::size_t calls_before = store_.watches_.size();
            instant answered = monotonic_now();
            manual_store::answer(
                store_.watches_,
                table_snapshot{.rows_ = {row("a")}, .version_ = ++version});
            wait_for_watch(calls_before + 1);
            delays.push_back(monotonic_now() - answered);
        }
        CPPUNIT_ASSERT(delays[0] >= initial_delay);
        CPPUNIT_ASSERT(delays[2] >= 4 * initial_delay);
        CPPUNIT_ASSERT(delays[4] >= 4 * initial_delay);
        // After a quiet period the delay starts from the initial delay again.
        instant quiet_until = monotonic_now() + 5 * initial_delay;
        while (monotonic_now() < quiet_until)
            std::this_thread::sleep_for(std::chrono::milliseconds(10));
        std::size_t calls_before = store_.watches_.size();
        instant answered = monotonic_now();
        manual_store::answer(
            store_.watches_,
            table_snapshot{.rows_ = {row("a")}, .version_ = ++version});
        wait_for_watch(calls_before + 1);
        CPPUNIT_ASSERT(monotonic_now() - answered < 4 * initial_delay);
    }

    // A lost watch is noticed only when its wait has passed. The wait must
    // therefore include the delay that preceded the watch.
    void every_watch_ends_when_the_next_answer_is_due()
    {
        constexpr std::int64_t interval = 100;
        for (std::int64_t delay : {0, 30, 90, 150})
        {
            feed_ = std::make_unique<table_feed>(
                loop_, store_,
                table_feed::options{.table_ = "t",
                                    .answer_interval_ms_ = interval,
                                    .initial_delay_ms_ = delay,
                                    .max_delay_ms_ = delay},
                [](const std::map<std::string, table_row>&) {});
            feed_->start();
            manual_store::answer(store_.lists_, table_snapshot{.version_ = 5});
            CPPUNIT_ASSERT(store_.watches_.back().wait_ms_ <= interval);
            std::size_t calls_before = store_.watches_.size();
            manual_store::answer(
                store_.watches_,
                table_snapshot{.rows_ = {row("a")}, .version_ = 6});
            wait_for_watch(calls_before + 1);
            std::int64_t wait_ms = store_.watches_.back().wait_ms_;
            constexpr std::int64_t clock_tick_ms = 1;
            CPPUNIT_ASSERT(
                wait_ms <=
                std::max(std::int64_t{0}, interval - delay + clock_tick_ms));
            CPPUNIT_ASSERT(wait_ms >= 0);
        }
    }

    // A refresh and the watch that is under way have connections of their own,
    // so their answers may arrive in either order.
    void watch_answer_older_than_a_refresh_is_ignored()
    {
        feed_->refresh();
        manual_store::answer(
            store_.lists_,
            table_snapshot{.rows_ = {row("a"), row("b")}, .version_ = 9});
        CPPUNIT_ASSERT_EQUAL(std::size_t{2}, rows_);
        manual_store::answer(
            store_.watches_,
            table_snapshot{.rows_ = {row("a", true)}, .version_ = 7});
        CPPUNIT_ASSERT_EQUAL(std::size_t{2}, feed_->rows().size());
        CPPUNIT_ASSERT_EQUAL(std::int64_t{9}, store_.watches_.back().after_);
    }

    void refresh_older_than_a_watch_answer_is_ignored()
    {
        feed_->refresh();
        manual_store::answer(
            store_.watches_,
            table_snapshot{.rows_ = {row("b")}, .version_ = 7});
        manual_store::answer(
            store_.lists_, table_snapshot{.rows_ = {row("a")}, .version_ = 6});
        CPPUNIT_ASSERT_EQUAL(std::size_t{2}, feed_->rows().size());
        CPPUNIT_ASSERT_EQUAL(std::int64_t{7}, feed_->version());
    }

    static table_snapshot given(std::int64_t at_ms, std::int64_t version,
                                std::vector<table_row> rows = {})
    {
        return {.rows_ = std::move(rows),
                .version_ = version,
                .given_at_ = instant{at_ms}};
    }

    // The list after a loss of the store's history may be some seconds old.
    void age_of_a_change_is_known_from_watches_only()
    {
        CPPUNIT_ASSERT(feed_->changed_since() == never);
        manual_store::answer(store_.watches_, given(1000, 6));
        manual_store::answer(store_.watches_, fail(error_code::compacted));
        manual_store::answer(store_.lists_, given(4000, 5, {row("a")}));
        CPPUNIT_ASSERT(feed_->changed_since() == instant{1000});
        manual_store::answer(store_.watches_, given(4100, 7, {row("b")}));
        CPPUNIT_ASSERT(feed_->changed_since() == instant{1000});
        manual_store::answer(store_.watches_, given(9000, 8, {row("c")}));
        CPPUNIT_ASSERT(feed_->changed_since() == instant{4100});
    }

    /// A store whose only row appears at `written_at_ms_`. Lists may be old,
    /// and calls may be lost, held up or told that the history is gone.
    struct random_play
    {
        manual_store store_;
        boost::asio::io_context loop_{1};
        std::int64_t written_at_ms_ = *rc::gen::inRange(0, 30'000);
        std::int64_t now_ms_ = 0;
        bool read_ = false;
        table_feed feed_{
            loop_,
            store_,
            {.table_ = "t", .initial_backoff_ms_ = 0, .max_backoff_ms_ = 0},
            [this](const std::map<std::string, table_row>& rows)
            {
                if (!rows.empty() && !std::exchange(read_, true))
                    RC_ASSERT(feed_.changed_since() <= instant{written_at_ms_});
            }};

        table_snapshot rows_at(std::int64_t at_ms, std::int64_t after) const
        {
            bool written = at_ms >= written_at_ms_;
            // Other tables have changes, too: a version a millisecond.
            std::int64_t row_version = written_at_ms_ + 1;
            std::vector<table_row> rows;
            if (written && row_version > after)
                rows.push_back(
                    {.table_ = "t", .key_ = "e", .version_ = row_version});
            return {.rows_ = rows, .version_ = at_ms + 1};
        }

        void answer_list()
        {
            std::int64_t age_ms = *rc::gen::inRange<std::int64_t>(
                0, std::min<std::int64_t>(now_ms_ + 1, 4000));
            auto snapshot = rows_at(now_ms_ - age_ms, 0);
            snapshot.given_at_ = instant{now_ms_};
            manual_store::answer(store_.lists_, snapshot);
        }

        void answer_watch()
        {
            std::int64_t arrived_ms = now_ms_;
            auto snapshot = rows_at(arrived_ms, store_.watches_.back().after_);
            snapshot.version_ =
                std::max(snapshot.version_, store_.watches_.back().after_);
            now_ms_ += *rc::gen::inRange(0, 3000); // on the way back
            snapshot.given_at_ = instant{arrived_ms};
            manual_store::answer(store_.watches_, snapshot);
        }

        void step()
        {
            std::size_t lists = store_.lists_.size();
            std::size_t watches = store_.watches_.size();
            now_ms_ += *rc::gen::inRange(0, 3000);
            if (lists_ != lists)
            {
                lists_ = lists;
                return answer_list();
            }
            if (watches_ == watches)
                return;
            watches_ = watches;
            switch (*rc::gen::inRange(0, 5))
            {
            case 0:
                manual_store::answer(store_.watches_, fail(error_code::lost));
                break;
            case 1:
                manual_store::answer(store_.watches_,
                                     fail(error_code::compacted));
                break;
            default:
                answer_watch();
            }
            loop_.restart();
            loop_.run_for(std::chrono::milliseconds(1));
        }

        std::size_t lists_ = 0;   ///< answered so far
        std::size_t watches_ = 0; ///< answered so far
    };

    void changes_are_never_dated_after_they_were_made()
    {
        CHECK_PROPERTY("changes are never dated after they were made",
                       []
                       {
                           random_play play;
                           play.feed_.start();
                           for (int i = 0; i < 40 && !play.read_; ++i)
                               play.step();
                       });
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(table_feed_test);

} // namespace
} // namespace tanagerspan
