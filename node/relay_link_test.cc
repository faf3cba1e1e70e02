// Tests of watches at a relay over the links between proxies.

#include <optional>

#include "node/session_fixture_test.h"

namespace tanagerspan
{
namespace
{

/// A relay and a host that uses it.
struct relay_link_fixture : session_fixture
{
    fleet_host relay_{"relay", "a", free_address(loop_)};
    std::unique_ptr<traffic_server> relay_server_;
    std::vector<relay_request> requests_;
    std::function<void(const relay_reply&)> answer_;
    std::optional<result<relay_reply>> got_;

    explicit relay_link_fixture(bool with_service = true)
    {
        relay_server_ = start_server(relay_);
        if (with_service)
            relay_server_->set_relay_service(
                [this](const relay_request& request,
                       std::function<void(const relay_reply&)> done)
                {
                    requests_.push_back(request);
                    answer_ = std::move(done);
                });
        publish_to(*relay_server_, {.is_home_ = true});
    }

    void watch(std::int64_t wait_ms = 1000)
    {
        got_.reset();
        server_->watch_at_relay(relay_, {"t", 5, wait_ms, 9},
                                [this](result<relay_reply> reply)
                                {
                                    got_ = std::move(reply);
                                });
    }
    bool arrives()
    {
        return until(
            [this]
            {
                return !requests_.empty();
            });
    }
    bool replied()
    {
        return until(
            [this]
            {
                return got_.has_value();
            });
    }
};

class relay_link_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(relay_link_test);
    CPPUNIT_TEST(watch_is_answered_over_a_new_link);
    CPPUNIT_TEST(host_without_the_service_declines);
    CPPUNIT_TEST(silent_relay_ends_the_watch);
    CPPUNIT_TEST(closed_link_ends_the_watch);
    CPPUNIT_TEST(leaving_relay_gets_no_watch);
    CPPUNIT_TEST(late_answer_to_a_closed_link_is_dropped);
    CPPUNIT_TEST_SUITE_END();

    // Guards against a first request that fails because the link is not open.
    void watch_is_answered_over_a_new_link()
    {
        relay_link_fixture f;
        f.watch();
        CPPUNIT_ASSERT(f.arrives());
        CPPUNIT_ASSERT_EQUAL(std::string("t"), f.requests_.front().table_);
        CPPUNIT_ASSERT_EQUAL(std::int64_t{9}, f.requests_.front().proof_ms_);
        f.answer_(
            {.rows_ = {{"a", "x", 6, false}}, .version_ = 7, .proof_ms_ = 10});
        CPPUNIT_ASSERT(f.replied() && f.got_->has_value());
        CPPUNIT_ASSERT_EQUAL(std::int64_t{7}, (*f.got_)->version_);
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, (*f.got_)->rows_.size());
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, f.requests_.size());
    }

    void host_without_the_service_declines()
    {
        relay_link_fixture f(false);
        f.watch();
        CPPUNIT_ASSERT(f.replied() && f.got_->has_value());
        CPPUNIT_ASSERT_EQUAL(
            static_cast<std::int64_t>(relay_outcome::unavailable),
            (*f.got_)->outcome_);
    }

    // Guards against requests that pile up at a link to a relay that hangs.
    void silent_relay_ends_the_watch()
    {
        relay_link_fixture f;
        f.watch(100);
        CPPUNIT_ASSERT(f.arrives());
        f.run_for(400);
        CPPUNIT_ASSERT(!f.got_);
        CPPUNIT_ASSERT(f.replied());
        CPPUNIT_ASSERT(f.got_->error().code_ == error_code::lost);
    }

    void closed_link_ends_the_watch()
    {
        relay_link_fixture f;
        f.watch(max_relay_wait_ms);
        CPPUNIT_ASSERT(f.arrives());
        f.relay_server_.reset();
        CPPUNIT_ASSERT(f.replied() && !f.got_->has_value());
    }

    void leaving_relay_gets_no_watch()
    {
        relay_link_fixture f;
        f.watch();
        CPPUNIT_ASSERT(f.arrives());
        f.relay_server_->drain({.sessions_ms_ = 5000, .transactions_ms_ = 2500},
                               [] {});
        f.run_for(100);
        f.watch();
        CPPUNIT_ASSERT(f.got_.has_value());
        CPPUNIT_ASSERT(f.got_->error().code_ == error_code::not_sent);
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, f.requests_.size());
    }

    void late_answer_to_a_closed_link_is_dropped()
    {
        relay_link_fixture f;
        f.watch();
        CPPUNIT_ASSERT(f.arrives());
        f.server_.reset();
        f.run_for(100);
        f.answer_({.version_ = 7});
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(relay_link_test);

} // namespace
} // namespace tanagerspan
