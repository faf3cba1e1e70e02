// Tests of fleet_control against a store with failures.

#include <chrono>
#include <string>

#include "node/fleet_control.h"
#include "stand_ins/watched_store.h"
#include "testing/check.h"
#include "transport/monotonic_clock.h"

namespace tanagerspan
{
namespace
{

constexpr std::int64_t settings_bound_ms = 3000;

struct no_promotions final : promotion_service
{
    void promote(const promotion_order&, order_handler) override
    {
    }
};

/// Settings in these tests are their version number.
result<route_table> parse_version(std::string_view text)
{
    return route_table{.version_ = std::stoll(std::string(text))};
}

result<endpoint_entry> parse_address(std::string_view id, std::string_view text,
                                     std::int64_t row_version)
{
    return endpoint_entry{.id_ = std::string(id),
                          .service_ = "orders",
                          .address_ = std::string(text),
                          .row_version_ = row_version};
}

class fleet_control_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(fleet_control_test);
    CPPUNIT_TEST(settings_are_applied_in_time_after_a_lost_watch);
    CPPUNIT_TEST_SUITE_END();

    boost::asio::io_context loop_{1};
    watched_store store_{loop_};
    no_promotions promotions_;
    std::int64_t applied_version_ = 0;
    std::unique_ptr<fleet_control> control_;

public:
    void setUp() override
    {
        control_ = std::make_unique<fleet_control>(
            loop_, store_, promotions_,
            fleet_control::options{
                .own_ = {"host-1", "dc-1", "10.0.0.1:7000"},
                .format_ = {.settings_table_ = "settings",
                            .settings_key_ = "all",
                            .endpoints_table_ = "endpoints",
                            .parse_routes_ = parse_version,
                            .parse_endpoint_ = parse_address}},
            fleet_control::outputs{.routes_ =
                                       [this](const route_table_ptr& routes)
                                   {
                                       applied_version_ = routes->version_;
                                   },
                                   .endpoints_ = [](const endpoint_list_ptr&,
                                                    const home_plan_ptr&) {},
                                   .promoted_ = [](const std::string&,
                                                   const std::string&,
                                                   std::int64_t) {}});
    }

private:
    void run_for(std::int64_t duration_ms)
    {
        loop_.restart();
        loop_.run_for(std::chrono::milliseconds(duration_ms));
    }

    /// Runs until the settings of `version` are applied. Returns the time that
    /// it took, or `limit_ms` if they were not applied by then.
    std::int64_t time_until_applied(std::int64_t version, std::int64_t limit_ms)
    {
        instant start = monotonic_now();
        while (applied_version_ != version &&
               monotonic_now() - start < limit_ms)
            run_for(5);
        return monotonic_now() - start;
    }

    // Regression: a watch that the store never answered left changes of the
    // settings unread until the watch timed out, 29.5 s after it was sent.
    void settings_are_applied_in_time_after_a_lost_watch()
    {
        store_.put("settings", "all", "1");
        control_->start();
        CPPUNIT_ASSERT(time_until_applied(1, 500) < 500);
        store_.put("settings", "all", "2");
        CPPUNIT_ASSERT(time_until_applied(2, 500) < 500);
        // The next watch is sent 100 ms after the change.
        store_.set_silent(true);
        run_for(200);
        store_.set_silent(false);
        store_.put("settings", "all", "3");
        CPPUNIT_ASSERT(time_until_applied(3, settings_bound_ms) <
                       settings_bound_ms);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(fleet_control_test);

} // namespace
} // namespace tanagerspan
