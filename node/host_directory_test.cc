// Tests of host_directory against an in-memory store.

#include <algorithm>
#include <chrono>

#include "node/host_directory.h"
#include "testing/check.h"
#include "transport/monotonic_clock.h"

namespace tanagerspan
{
namespace
{

/// Answers at once from rows in memory; fails all calls while `unavailable_`.
struct memory_store final : table_store
{
    std::vector<table_row> rows_;
    std::int64_t now_ms_ = 1'000'000;
    bool unavailable_ = false;
    std::size_t lists_ = 0;

    void list(const std::string&, snapshot_handler done) override
    {
        ++lists_;
        if (unavailable_)
            return done(fail(error_code::unavailable, "away"));
        done(table_snapshot{.rows_ = rows_, .now_ms_ = now_ms_});
    }
    void watch(const std::string&, std::int64_t, std::int64_t,
               snapshot_handler) override
    {
    }
    void transact(const table_transaction& change, answer_handler done) override
    {
        if (unavailable_)
            return done(fail(error_code::unavailable, "away"));
        for (const auto& removed : change.removed_)
            remove(removed.key_);
        for (const auto& row : change.put_)
        {
            remove(row.key_);
            rows_.push_back(row);
        }
        done(transaction_answer{.applied_ = true});
    }
    void remove(const std::string& key)
    {
        std::erase_if(rows_,
                      [&](const table_row& row)
                      {
                          return row.key_ == key;
                      });
    }
    void put(const std::string& key, std::int64_t seen_ms)
    {
        fleet_host_row value{"dc", "10.0.0.1:7000", seen_ms};
        rows_.push_back(
            {.table_ = "hosts", .key_ = key, .value_ = encode(value).dump()});
    }
};

class host_directory_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(host_directory_test);
    CPPUNIT_TEST(list_contains_own_and_other_hosts);
    CPPUNIT_TEST(stale_rows_are_ignored);
    CPPUNIT_TEST(rows_are_not_stale_while_the_store_is_unavailable);
    CPPUNIT_TEST(unreadable_rows_are_skipped);
    CPPUNIT_TEST(row_is_renewed_after_a_restore);
    CPPUNIT_TEST(known_hosts_are_kept_after_a_restore);
    CPPUNIT_TEST(leave_removes_the_own_row);
    CPPUNIT_TEST_SUITE_END();

    boost::asio::io_context loop_{1};
    memory_store store_;
    std::vector<fleet_host> live_;
    std::unique_ptr<host_directory> directory_;

    void start(std::int64_t renew_period_ms = 40)
    {
        directory_ = std::make_unique<host_directory>(
            loop_, store_,
            host_directory::options{.table_ = "hosts",
                                    .own_ = {"own", "dc", "10.0.0.9:7000"},
                                    .initial_list_delay_ms_ = 10,
                                    .list_period_ms_ = 10,
                                    .renew_period_ms_ = renew_period_ms,
                                    .stale_after_ms_ = 1000,
                                    .keep_known_ms_ = 200},
            [this](const std::vector<fleet_host>& live)
            {
                live_ = live;
            });
        directory_->start();
    }

    void run_for(std::int64_t ms)
    {
        instant end = monotonic_now() + ms;
        while (monotonic_now() < end)
            loop_.run_one_for(std::chrono::milliseconds(5));
    }

    void list_contains_own_and_other_hosts()
    {
        store_.put("other", store_.now_ms_);
        start();
        CPPUNIT_ASSERT_EQUAL(std::size_t{2}, live_.size());
        CPPUNIT_ASSERT_EQUAL(std::string("other"), live_.front().name_);
        CPPUNIT_ASSERT_EQUAL(std::size_t{2}, store_.rows_.size());
        store_.put("third", store_.now_ms_);
        run_for(60);
        CPPUNIT_ASSERT_EQUAL(std::size_t{3}, live_.size());
    }

    void stale_rows_are_ignored()
    {
        store_.put("gone", store_.now_ms_ - 5000);
        start();
        // A host that has just started does not know whether the others had a
        // reachable store to renew their rows.
        CPPUNIT_ASSERT_EQUAL(std::size_t{2}, live_.size());
        run_for(150);
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, live_.size());
        CPPUNIT_ASSERT_EQUAL(std::string("own"), live_.front().name_);
    }

    void rows_are_not_stale_while_the_store_is_unavailable()
    {
        store_.put("other", store_.now_ms_);
        start();
        run_for(150);
        store_.unavailable_ = true;
        store_.now_ms_ += 100'000;
        run_for(150);
        CPPUNIT_ASSERT_EQUAL(std::size_t{2}, live_.size());
        store_.unavailable_ = false;
        run_for(40); // The other host has had no time to renew its row.
        CPPUNIT_ASSERT_EQUAL(std::size_t{2}, live_.size());
    }

    void unreadable_rows_are_skipped()
    {
        store_.rows_.push_back({.key_ = "odd", .value_ = "{\"x\":1"});
        store_.put("other", store_.now_ms_);
        start();
        CPPUNIT_ASSERT_EQUAL(std::size_t{2}, live_.size());
    }

    // Regression: a row that a restore of the store lost was missing until its
    // regular renewal, 20 s later, and the other hosts took its connections.
    void row_is_renewed_after_a_restore()
    {
        start(20'000);
        run_for(30);
        store_.rows_.clear();
        directory_->on_restored();
        run_for(30);
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, store_.rows_.size());
    }

    void known_hosts_are_kept_after_a_restore()
    {
        store_.put("other", store_.now_ms_);
        start();
        run_for(30);
        CPPUNIT_ASSERT_EQUAL(std::size_t{2}, live_.size());
        store_.rows_.clear();
        directory_->on_restored();
        run_for(30);
        CPPUNIT_ASSERT_EQUAL(std::size_t{2}, live_.size());
        run_for(300);
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, live_.size());
    }

    void leave_removes_the_own_row()
    {
        start();
        run_for(30);
        bool done = false;
        directory_->leave(
            [&done]
            {
                done = true;
            });
        run_for(100);
        CPPUNIT_ASSERT(done);
        CPPUNIT_ASSERT(store_.rows_.empty());
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(host_directory_test);

} // namespace
} // namespace tanagerspan
