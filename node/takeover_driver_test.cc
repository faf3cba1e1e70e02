// Tests of takeover_driver: which rows it writes back.

#include <chrono>
#include <map>
#include <optional>
#include <string>

#include "node/takeover_driver.h"
#include "stand_ins/watched_store.h"
#include "testing/check.h"
#include "transport/monotonic_clock.h"

namespace tanagerspan
{
namespace
{

struct no_promotions final : promotion_service
{
    void promote(const promotion_order&, order_handler) override
    {
    }
};

class takeover_driver_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(takeover_driver_test);
    CPPUNIT_TEST(row_that_the_watch_lacks_is_not_written_back);
    CPPUNIT_TEST(row_that_a_restore_lost_is_written_back);
    CPPUNIT_TEST(claim_after_a_restore_waits_for_other_hosts);
    CPPUNIT_TEST(claim_after_a_restore_has_a_new_token);
    CPPUNIT_TEST(attempt_whose_end_is_not_recorded_is_repeated);
    CPPUNIT_TEST_SUITE_END();

    static constexpr std::int64_t several_ticks_ms = 200;
    static constexpr std::int64_t restore_hold_ms = 400;
    using rows = std::map<std::string, table_row>;

    boost::asio::io_context loop_{1};
    watched_store store_{loop_};
    no_promotions promotions_;
    takeover_driver driver_{
        loop_,
        store_,
        promotions_,
        {.host_name_ = "host-1",
         .table_ = "takeovers",
         .restore_hold_ms_ = restore_hold_ms},
        [](const std::string&, const std::string&, std::int64_t) {},
        [](const std::string&, const pending_promotion&) {}};

    /// Passes one row of the first era to the driver.
    void read_row()
    {
        takeover_row row{.token_ = 3, .endpoint_ = "e-1", .stage_ = "done"};
        driver_.on_rows({{"orders",
                          {.table_ = "takeovers",
                           .key_ = "orders",
                           .value_ = encode(row).dump(),
                           .version_ = make_version(1, 8)}}},
                        1);
    }

    std::optional<takeover_row> stored_row() const
    {
        auto row = store_.find("takeovers", "orders");
        if (!row)
            return std::nullopt;
        return *decode_text<takeover_row>(row->value_);
    }

    void run(std::int64_t duration_ms = several_ticks_ms)
    {
        loop_.restart();
        loop_.run_for(std::chrono::milliseconds(duration_ms));
    }

    /// The host sees a restore that left no row, and a primary to replace.
    void restore_and_lose_primary()
    {
        store_.restore();
        driver_.on_rows(rows{}, 1);
        driver_.on_rows(rows{}, 2);
        driver_.on_health("orders", {.endpoint_id_ = "e-1", .leaving_ = true});
    }

    // A host may know its own write before the watch returns it.
    void row_that_the_watch_lacks_is_not_written_back()
    {
        read_row();
        driver_.on_rows(rows{}, 1);
        run();
        CPPUNIT_ASSERT_EQUAL(std::size_t{0}, store_.calls());
    }

    void row_that_a_restore_lost_is_written_back()
    {
        read_row();
        driver_.on_rows(rows{}, 2);
        run();
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, store_.calls());
        CPPUNIT_ASSERT(store_.find("takeovers", "orders").has_value());
    }

    // Another host may know a later row and write it back first.
    void claim_after_a_restore_waits_for_other_hosts()
    {
        restore_and_lose_primary();
        run(restore_hold_ms / 2);
        CPPUNIT_ASSERT_EQUAL(std::size_t{0}, store_.calls());
    }

    // Regression: a token of the row that the restore lost was used again.
    void claim_after_a_restore_has_a_new_token()
    {
        constexpr std::int64_t many_claims = 1000;
        restore_and_lose_primary();
        run(restore_hold_ms + several_ticks_ms);
        auto row = stored_row();
        CPPUNIT_ASSERT(row.has_value());
        CPPUNIT_ASSERT(row->token_ > first_token(1) + many_claims);
    }

    // Regression: a host waited until its own claim had expired, although its
    // attempt was over; the service had no primary meanwhile.
    void attempt_whose_end_is_not_recorded_is_repeated()
    {
        constexpr std::int64_t limit_ms = 4000; // half of the claim's timeout
        driver_.on_health("orders", {.endpoint_id_ = "e-1", .leaving_ = true});
        while (!stored_row())
            loop_.run_one();
        store_.set_silent(true);
        run();
        store_.set_silent(false);
        std::int64_t first_token = stored_row()->token_;
        CPPUNIT_ASSERT_EQUAL(std::string("claimed"), stored_row()->stage_);
        instant end = monotonic_now() + limit_ms;
        while (stored_row()->token_ == first_token && monotonic_now() < end)
            run();
        CPPUNIT_ASSERT(stored_row()->token_ > first_token);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(takeover_driver_test);

} // namespace
} // namespace tanagerspan
