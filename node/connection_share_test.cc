// Tests of the connections that proxies hold to an endpoint which limits them.

#include "node/session_fixture_test.h"

namespace tanagerspan
{
namespace
{

class connection_share_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(connection_share_test);
    CPPUNIT_TEST(a_busy_proxy_leaves_the_others_their_share);
    CPPUNIT_TEST(idle_connections_are_closed);
    CPPUNIT_TEST_SUITE_END();

    // The callers of one proxy keep more transactions open than its share has
    // connections. The endpoint takes just the shares of both proxies.
    void a_busy_proxy_leaves_the_others_their_share()
    {
        constexpr std::size_t share = 2;
        session_fixture fixture;
        for (auto& member : fixture.members_)
            member->options_.max_connections_ = 2 * share;
        service_homes homes{.is_home_ = true,
                            .connections_per_endpoint_ = share};
        fixture.publish_to(*fixture.server_, homes);
        std::vector<std::unique_ptr<test_caller>> callers;
        for (int i = 0; i < 6; ++i)
        {
            callers.push_back(fixture.open("strict"));
            callers.back()->send_statement("BEGIN");
            callers.back()->send_statement("WRITE k v");
        }
        fixture.run_for(100);
        CPPUNIT_ASSERT_EQUAL(share, fixture.primary().open_connections());

        auto other = fixture.start_server(
            {"other", "a", fixture.free_address(fixture.loop_)});
        fixture.publish_to(*other, homes);
        auto caller = fixture.open("strict");
        CPPUNIT_ASSERT(!fixture.execute(*caller, "WRITE k w").error_);
        CPPUNIT_ASSERT(fixture.primary().open_connections() <= 2 * share);
    }

    // The connections of a busy time are closed some time after it, so that
    // all proxies find free ones after a common restart.
    void idle_connections_are_closed()
    {
        constexpr std::size_t share = 6;
        session_fixture fixture;
        fixture.publish_to(
            *fixture.server_,
            {.is_home_ = true, .connections_per_endpoint_ = share});
        std::vector<std::unique_ptr<test_caller>> callers;
        for (std::size_t i = 0; i < share; ++i)
        {
            callers.push_back(fixture.open("strict"));
            callers.back()->send_statement("BEGIN");
            callers.back()->send_statement("WRITE k v");
        }
        fixture.run_for(200);
        CPPUNIT_ASSERT_EQUAL(share, fixture.primary().open_connections());
        for (auto& caller : callers)
            CPPUNIT_ASSERT(!fixture.execute(*caller, "COMMIT").error_);
        fixture.run_for(3500);
        CPPUNIT_ASSERT(fixture.primary().open_connections() <= share / 2);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(connection_share_test);

} // namespace
} // namespace tanagerspan
