// Tests of takeover_driver: which rows it writes back.

#include <chrono>
#include <map>
#include <string>

#include "node/takeover_driver.h"
#include "stand_ins/watched_store.h"
#include "testing/check.h"

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
        [](const std::string&, const std::string&, std::int64_t) {}};

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
        auto row = store_.find("takeovers", "orders");
        CPPUNIT_ASSERT(row.has_value());
        CPPUNIT_ASSERT(decode_text<takeover_row>(row->value_)->token_ >
                       first_token(1) + many_claims);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(takeover_driver_test);

} // namespace
} // namespace tanagerspan
