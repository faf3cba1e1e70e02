// Tests of endpoint_link and endpoint_group with addresses that are none.

#include <chrono>
#include <memory>

#include "node/endpoint_group.h"
#include "node/endpoint_link.h"
#include "platform/line_codec.h"
#include "testing/check.h"
#include "transport/monotonic_clock.h"

namespace tanagerspan
{
namespace
{

class endpoint_link_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(endpoint_link_test);
    CPPUNIT_TEST(port_out_of_range_is_reported_after_open_has_returned);
    CPPUNIT_TEST(group_outlives_a_port_out_of_range);
    CPPUNIT_TEST_SUITE_END();

    boost::asio::io_context loop_{1};
    platform::line_codec codec_;
    const endpoint_entry odd_entry_{
        .id_ = "e-1", .service_ = "orders", .address_ = "10.0.0.1:70000"};

    void run_for(std::int64_t duration_ms)
    {
        loop_.restart();
        loop_.run_for(std::chrono::milliseconds(duration_ms));
    }

    // Guards against actions of a takeover that are carried out after its end:
    // a failure reported from within `open` ended the attempt in the middle of
    // them.
    void port_out_of_range_is_reported_after_open_has_returned()
    {
        auto link = std::make_shared<endpoint_link>(
            loop_, endpoint_link::options{.codec_ = &codec_, .user_ = "host-1"},
            odd_entry_);
        std::optional<error_code> reported;
        link->open(
            [&reported](const result<reply>& opened)
            {
                reported = opened ? error_code::lost : opened.error().code_;
            });
        CPPUNIT_ASSERT(!reported);
        run_for(10);
        CPPUNIT_ASSERT(reported == error_code::malformed);
    }

    // Guards against hosts that end because of an address that is none.
    void group_outlives_a_port_out_of_range()
    {
        constexpr std::size_t share = 4;
        endpoint_group group(loop_,
                             {.link_ = {.codec_ = &codec_, .user_ = "host-1"}});
        group.set_endpoints({odd_entry_}, share, monotonic_now());
        bool granted = false;
        group.request_link(
            {.primary_ = true},
            [&granted](const link_ptr&)
            {
                granted = true;
            },
            monotonic_now());
        for (int tick = 0; tick < 20; ++tick)
        {
            group.tick(monotonic_now());
            run_for(5);
        }
        CPPUNIT_ASSERT(!granted);
        group.set_endpoints({}, share, monotonic_now());
        run_for(5);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(endpoint_link_test);

} // namespace
} // namespace tanagerspan
