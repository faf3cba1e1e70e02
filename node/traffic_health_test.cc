// Tests of the health of primaries that the traffic side reports.

#include "node/session_fixture_test.h"

namespace tanagerspan
{
namespace
{

class traffic_health_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(traffic_health_test);
    CPPUNIT_TEST(service_without_a_primary_is_reported);
    CPPUNIT_TEST(requested_mark_is_reported);
    CPPUNIT_TEST_SUITE_END();

    struct health_fixture : session_fixture
    {
        std::unique_ptr<traffic_server> proxy_;
        std::vector<primary_health> reports_;

        explicit health_fixture(bool has_primary)
        {
            for (auto& entry : entries_)
                entry.primary_ = entry.primary_ && has_primary;
            proxy_ = start_server({"proxy", "a", ""});
            proxy_->on_health_ =
                [this](const std::string&, const primary_health& health)
            {
                reports_.push_back(health);
            };
            publish_to(*proxy_,
                       {.is_home_ = true, .connections_per_endpoint_ = 9});
        }
    };

    // Guards against a service that stays without a primary (RECOVER): hosts
    // that started while no primary was listed never reported that, since it
    // equals the state before the first report.
    void service_without_a_primary_is_reported()
    {
        health_fixture f(false);
        CPPUNIT_ASSERT(f.until(
            [&]
            {
                return !f.reports_.empty();
            }));
        CPPUNIT_ASSERT(f.reports_[0] == primary_health{});
        f.run_for(200);
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, f.reports_.size());
    }

    void requested_mark_is_reported()
    {
        health_fixture f(true);
        f.run_for(100);
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, f.reports_.size());
        CPPUNIT_ASSERT(f.reports_[0].marks_.empty());
        instant asked = monotonic_now();
        f.proxy_->report_mark("svc");
        CPPUNIT_ASSERT(f.until(
            [&]
            {
                return f.reports_.size() > 1;
            }));
        CPPUNIT_ASSERT(!f.reports_[1].marks_.empty());
        CPPUNIT_ASSERT(f.reports_[1].marks_.back().asked_ >= asked);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(traffic_health_test);

} // namespace
} // namespace tanagerspan
