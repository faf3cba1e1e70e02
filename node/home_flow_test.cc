// Tests of statements that run at homes: homes that crash, leave, stop
// answering or don't serve the service, and proxies that disconnect meanwhile.

#include <algorithm>

#include "node/session_fixture_test.h"

namespace tanagerspan
{
namespace
{

/// Two homes, and a proxy that is not a home, to which callers connect.
struct two_homes_fixture : session_fixture
{
    fleet_host second_{"second", "b", free_address(loop_)};
    std::unique_ptr<traffic_server> second_server_;
    std::string home_callers_address_ =
        address_; ///< the first home, for callers

    two_homes_fixture()
    {
        second_server_ = start_server(second_);
        publish_to(*second_server_,
                   {.is_home_ = true, .connections_per_endpoint_ = 9});
        edge_server_ = start_server({"edge", "a", ""});
        publish_to(*edge_server_, {.forwarding_order_ = {home_, second_}});
        run_for(100);
    }

    std::size_t writes() const
    {
        std::size_t count = 0;
        for (const auto& member : members_)
        {
            for (const auto& ran : member->ran_)
                count += ran.statement_.kind_ == statement_kind::write ? 1 : 0;
        }
        return count;
    }

    /// Makes all members answer statements of this kind after `ms`.
    void delay(statement_kind kind, std::int64_t ms)
    {
        for (auto& member : members_)
        {
            member->faults_ = [kind, ms](const statement& what)
                -> std::optional<session_endpoint::fault>
            {
                if (what.kind_ != kind)
                    return std::nullopt;
                return session_endpoint::fault{.delay_ms_ = ms};
            };
        }
    }
};

class home_flow_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(home_flow_test);
    CPPUNIT_TEST(a_proxy_that_is_not_a_home_opens_no_connection);
    CPPUNIT_TEST(a_read_moves_to_another_home_after_a_crash);
    CPPUNIT_TEST(a_write_at_a_crashed_home_is_in_doubt_and_runs_once);
    CPPUNIT_TEST(a_transaction_at_a_crashed_home_is_aborted);
    CPPUNIT_TEST(a_leaving_home_finishes_its_work_and_gets_no_new_work);
    CPPUNIT_TEST(a_silent_home_is_skipped);
    CPPUNIT_TEST(without_homes_the_proxy_uses_its_own_connections);
    CPPUNIT_TEST(a_home_without_the_service_declines);
    CPPUNIT_TEST(an_unreachable_primary_is_reached_through_another_home);
    CPPUNIT_TEST(statements_do_not_circulate_without_a_reachable_primary);
    CPPUNIT_TEST(transactions_of_a_disconnected_proxy_are_rolled_back);
    CPPUNIT_TEST(an_abandoned_statement_ends_its_transaction);
    CPPUNIT_TEST(malformed_frames_close_only_their_link);
    CPPUNIT_TEST_SUITE_END();

    void a_proxy_that_is_not_a_home_opens_no_connection()
    {
        session_fixture f(true);
        std::size_t before = 0;
        for (const auto& member : f.members_)
            before += member->opened_;
        auto user = f.open("own");
        for (int i = 0; i < 10; ++i)
            CPPUNIT_ASSERT(!f.execute(*user, "READ a").error_);
        f.run_for(200);
        // The home keeps a few connections open; the other proxy opens none.
        std::size_t after = 0;
        for (const auto& member : f.members_)
            after += member->opened_;
        CPPUNIT_ASSERT(after <= before + 3);
    }

    void a_read_moves_to_another_home_after_a_crash()
    {
        two_homes_fixture f;
        auto user = f.open("bounded");
        CPPUNIT_ASSERT(!f.execute(*user, "READ a").error_);
        f.delay(statement_kind::read, 100);
        user->send_statement("READ b");
        f.run_for(30);
        f.server_.reset();
        CPPUNIT_ASSERT(f.until(
            [&]
            {
                return user->replies_.size() == 3;
            }));
        CPPUNIT_ASSERT(!user->replies_.back().error_);
    }

    void a_write_at_a_crashed_home_is_in_doubt_and_runs_once()
    {
        two_homes_fixture f;
        auto user = f.open("own");
        f.execute(*user, "READ a");
        f.delay(statement_kind::write, 100);
        user->send_statement("WRITE a 1");
        f.run_for(30);
        f.server_.reset();
        CPPUNIT_ASSERT(f.until(
            [&]
            {
                return user->replies_.size() == 3;
            }));
        CPPUNIT_ASSERT(user->replies_.back().error_ == reply_error::in_doubt);
        CPPUNIT_ASSERT(!f.execute(*user, "READ a").error_);
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, f.writes());
    }

    void a_transaction_at_a_crashed_home_is_aborted()
    {
        two_homes_fixture f;
        auto user = f.open("own");
        f.execute(*user, "BEGIN");
        CPPUNIT_ASSERT(!f.execute(*user, "WRITE a 1").error_);
        f.server_.reset();
        f.run_for(20);
        reply got = f.execute(*user, "WRITE b 1");
        CPPUNIT_ASSERT(got.error_ == reply_error::aborted);
        CPPUNIT_ASSERT(got.state_ == transaction_state::failed);
        CPPUNIT_ASSERT(!f.execute(*user, "ROLLBACK").error_);
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, f.writes());
        CPPUNIT_ASSERT(!f.execute(*user, "READ a").error_);
    }

    void a_leaving_home_finishes_its_work_and_gets_no_new_work()
    {
        two_homes_fixture f;
        auto user = f.open("own");
        f.execute(*user, "BEGIN");
        CPPUNIT_ASSERT(!f.execute(*user, "WRITE a 1").error_);
        bool drained = false;
        f.server_->drain({.sessions_ms_ = 5000, .transactions_ms_ = 2500},
                         [&drained]
                         {
                             drained = true;
                         });
        f.run_for(50);
        auto other = f.open("own");
        CPPUNIT_ASSERT(!f.execute(*other, "READ a").error_);
        CPPUNIT_ASSERT(!drained);
        CPPUNIT_ASSERT(f.second_server_->metrics().find(
                           "tanager_peer_runs_total 1") != std::string::npos);
        CPPUNIT_ASSERT(!f.execute(*user, "COMMIT").error_);
        instant end = monotonic_now() + 4000;
        while (!drained && monotonic_now() < end)
            f.run_for(20);
        CPPUNIT_ASSERT(drained);
    }

    void a_silent_home_is_skipped()
    {
        two_homes_fixture f;
        boost::asio::ip::tcp::acceptor mute(
            f.loop_, {boost::asio::ip::address_v4::loopback(), 0});
        fleet_host silent{"silent", "a",
                          "127.0.0.1:" +
                              std::to_string(mute.local_endpoint().port())};
        f.publish_to(*f.edge_server_,
                     {.forwarding_order_ = {silent, f.second_}});
        f.run_for(100);
        for (auto& [name, route] : f.routes_->by_database_)
            CPPUNIT_ASSERT(route.timeout_ms_ == 400);
        auto user = f.open("own");
        // The first write waits until its timeout, and its outcome is unknown
        // to the caller. The next one goes to the other home.
        reply got = f.execute(*user, "WRITE a 1");
        CPPUNIT_ASSERT(got.error_ == reply_error::timeout);
        CPPUNIT_ASSERT(!f.execute(*user, "WRITE a 2").error_);
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, f.writes());
    }

    void without_homes_the_proxy_uses_its_own_connections()
    {
        two_homes_fixture f;
        f.server_.reset();
        f.second_server_.reset();
        f.run_for(50);
        auto user = f.open("own");
        CPPUNIT_ASSERT(!f.execute(*user, "READ a").error_);
        CPPUNIT_ASSERT(!f.execute(*user, "WRITE a 1").error_);
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, f.writes());
    }

    void a_home_without_the_service_declines()
    {
        two_homes_fixture f;
        fleet_host fresh{"fresh", "a", session_fixture::free_address(f.loop_)};
        auto routes = std::exchange(f.routes_, std::make_shared<route_table>());
        std::string callers = f.address_;
        auto fresh_server = f.start_server(fresh); // it has no routes
        f.address_ = callers;
        f.publish_to(*f.edge_server_,
                     {.forwarding_order_ = {fresh, f.second_}});
        f.run_for(100);
        auto user = f.open("own");
        CPPUNIT_ASSERT(!f.execute(*user, "WRITE a 1").error_);
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, f.writes());
    }

    /// Publishes to `server` an unused address as that of the primary, so that
    /// only this proxy cannot reach the primary.
    static void disconnect_from_primary(session_fixture& f,
                                        traffic_server& server,
                                        service_homes homes)
    {
        auto entries = f.entries_;
        f.entries_[0].address_ = session_fixture::free_address(f.loop_);
        f.publish_to(server, std::move(homes));
        f.entries_ = entries;
    }

    void an_unreachable_primary_is_reached_through_another_home()
    {
        two_homes_fixture f;
        service_homes plan{.forwarding_order_ = {f.home_, f.second_},
                           .is_home_ = true,
                           .connections_per_endpoint_ = 9};
        disconnect_from_primary(f, *f.server_, plan);
        f.run_for(200);
        auto through_edge = f.open("own");
        f.address_ = f.home_callers_address_;
        auto at_home = f.open("own");
        for (test_caller* user : {through_edge.get(), at_home.get()})
        {
            CPPUNIT_ASSERT(!f.execute(*user, "WRITE a 1").error_);
            f.execute(*user, "BEGIN");
            CPPUNIT_ASSERT(!f.execute(*user, "WRITE b 1").error_);
            CPPUNIT_ASSERT(!f.execute(*user, "COMMIT").error_);
        }
        CPPUNIT_ASSERT_EQUAL(std::size_t{4}, f.writes());
    }

    void statements_do_not_circulate_without_a_reachable_primary()
    {
        two_homes_fixture f;
        f.primary().stop();
        f.run_for(200);
        auto user = f.open("own");
        instant asked = monotonic_now();
        reply got = f.execute(*user, "WRITE a 1");
        CPPUNIT_ASSERT(got.error_ == reply_error::busy);
        CPPUNIT_ASSERT(monotonic_now() - asked < 600);
        CPPUNIT_ASSERT_EQUAL(std::size_t{0}, f.writes());
        // The statement waited at one home instead of being passed back and
        // forth, so no home received many runs.
        for (const auto& server : {f.server_.get(), f.second_server_.get()})
        {
            std::string text = server->metrics();
            auto at = text.find("tanager_peer_runs_total ");
            CPPUNIT_ASSERT(std::stoi(text.substr(at + 24)) <= 4);
        }
    }

    void transactions_of_a_disconnected_proxy_are_rolled_back()
    {
        two_homes_fixture f;
        auto user = f.open("own");
        f.execute(*user, "BEGIN");
        CPPUNIT_ASSERT(!f.execute(*user, "WRITE a 1").error_);
        f.edge_server_.reset();
        CPPUNIT_ASSERT(f.until(
            [&]
            {
                return f.primary().asked_.back().kind_ ==
                       statement_kind::rollback;
            }));
    }

    // Guards against a connection that is given to other work with an open
    // transaction: a caller disconnects while a statement of its transaction
    // runs at the home.
    void an_abandoned_statement_ends_its_transaction()
    {
        two_homes_fixture f;
        auto user = f.open("own");
        f.execute(*user, "BEGIN");
        CPPUNIT_ASSERT(!f.execute(*user, "WRITE a 1").error_);
        f.delay(statement_kind::read, 60);
        user->send_statement("READ b");
        f.run_for(20);
        user.reset();
        f.run_for(200);
        auto other = f.open("own");
        for (int i = 0; i < 8; ++i)
            CPPUNIT_ASSERT(!f.execute(*other, "WRITE later v").error_);
        for (const auto& ran : f.primary().ran_)
        {
            if (ran.statement_.arguments_ == "later v")
                CPPUNIT_ASSERT_EQUAL(std::uint64_t{0}, ran.transaction_);
        }
        // The home does not keep the transaction either, so that a drain ends
        // before its limit.
        other.reset();
        bool drained = false;
        f.server_->drain({.sessions_ms_ = 20'000, .transactions_ms_ = 10'000},
                         [&drained]
                         {
                             drained = true;
                         });
        instant end = monotonic_now() + 5000;
        while (!drained && monotonic_now() < end)
            f.run_for(20);
        CPPUNIT_ASSERT(drained);
    }

    void malformed_frames_close_only_their_link()
    {
        two_homes_fixture f;
        auto user = f.open("own");
        for (const std::string& bad :
             {std::string("\xff\xff\xff\xff"), std::string("GET / HTTP/1.1"),
              encode_frame({frame_type::gossip, 1, nullptr}),
              encode_frame(
                  {frame_type::run, 1, nlohmann::json::object({{"k", 99}})})})
        {
            bool ended = false;
            auto stream = std::make_shared<byte_stream>(tcp_socket(f.loop_));
            stream->open(*parse_endpoint(f.home_.peers_address_),
                         {.on_input_ = [] {},
                          .on_end_ =
                              [&ended](const failure&)
                          {
                              ended = true;
                          }},
                         [&](const result<void>&)
                         {
                             stream->send(bad);
                         });
            CPPUNIT_ASSERT(f.until(
                [&]
                {
                    return ended;
                }));
            CPPUNIT_ASSERT(!f.execute(*user, "READ a").error_);
        }
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(home_flow_test);

} // namespace
} // namespace tanagerspan
