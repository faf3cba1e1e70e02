// Tests of commands for endpoints that this host does not reach, through a
// proxy that reaches them.

#include "node/endpoint_commands.h"
#include "node/session_fixture_test.h"

namespace tanagerspan
{
namespace
{

/// A host behind a network cut, and a proxy that can relay.
struct commands_fixture : session_fixture
{
    static constexpr const char* host_name = "cut-off";

    home_pool links_{loop_};
    std::vector<command_answer> answers_;
    endpoint_commands commands_{loop_,
                                {.codec_ = &codec, .host_name_ = host_name},
                                [this](const command_answer& got)
                                {
                                    answers_.push_back(got);
                                }};

    commands_fixture()
    {
        commands_.set_relays(&links_, {home_});
        members_[0]->silent_for_.insert(host_name);
    }

    void send(statement_kind kind)
    {
        bool has_term = kind == statement_kind::step_down;
        commands_.send(entries_[0],
                       {.kind_ = kind, .term_ = has_term ? 2U : 0U});
    }

    bool wait_for_answers(std::size_t count)
    {
        return until(
            [&]
            {
                instant now = monotonic_now();
                commands_.tick(now);
                links_.tick(now);
                return answers_.size() >= count;
            });
    }
};

class endpoint_commands_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(endpoint_commands_test);
    CPPUNIT_TEST(a_reachable_endpoint_answers_directly);
    CPPUNIT_TEST(an_endpoint_behind_a_cut_answers_through_another_host);
    CPPUNIT_TEST(an_endpoint_behind_a_cut_steps_down);
    CPPUNIT_TEST(the_next_command_goes_to_the_host_with_the_last_answer);
    CPPUNIT_TEST(a_stopped_endpoint_is_reported_once);
    CPPUNIT_TEST(a_resume_is_not_relayed);
    CPPUNIT_TEST(other_statements_are_not_relayed);
    CPPUNIT_TEST_SUITE_END();

    void a_reachable_endpoint_answers_directly()
    {
        commands_fixture f;
        f.members_[0]->silent_for_.clear();
        f.send(statement_kind::status);
        CPPUNIT_ASSERT(f.wait_for_answers(1));
        CPPUNIT_ASSERT(f.answers_[0].status_ && f.answers_[0].relay_.empty());
        f.run_for(200);
        CPPUNIT_ASSERT_EQUAL(std::size_t{0}, f.links_.open_links());
    }

    // Guards against the loss of an acknowledged change (LOST): a host behind a
    // cut took a primary that worked for other hosts for a crashed one.
    void an_endpoint_behind_a_cut_answers_through_another_host()
    {
        commands_fixture f;
        f.send(statement_kind::status);
        CPPUNIT_ASSERT(f.wait_for_answers(1));
        CPPUNIT_ASSERT(f.answers_[0].status_ &&
                       f.answers_[0].status_->primary_);
        CPPUNIT_ASSERT_EQUAL(std::string("home"), f.answers_[0].relay_);
        // The timeout of this host's own connection is no news.
        f.run_for(300);
        f.commands_.tick(monotonic_now() + 1000);
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, f.answers_.size());
    }

    void an_endpoint_behind_a_cut_steps_down()
    {
        commands_fixture f;
        f.send(statement_kind::step_down);
        CPPUNIT_ASSERT(f.wait_for_answers(1));
        CPPUNIT_ASSERT(f.answers_[0].status_);
        CPPUNIT_ASSERT(!f.answers_[0].status_->primary_);
        CPPUNIT_ASSERT(!f.members_[0]->options_.primary_);
    }

    void the_next_command_goes_to_the_host_with_the_last_answer()
    {
        constexpr std::int64_t less_than_relay_after_ms = 80;
        commands_fixture f;
        f.send(statement_kind::status);
        CPPUNIT_ASSERT(f.wait_for_answers(1));
        instant sent_at = monotonic_now();
        f.send(statement_kind::status);
        CPPUNIT_ASSERT(f.wait_for_answers(2));
        CPPUNIT_ASSERT(monotonic_now() - sent_at < less_than_relay_after_ms);
    }

    void a_stopped_endpoint_is_reported_once()
    {
        commands_fixture f;
        f.members_[0]->stop();
        f.send(statement_kind::status);
        CPPUNIT_ASSERT(f.wait_for_answers(1));
        CPPUNIT_ASSERT(!f.answers_[0].status_ && !f.answers_[0].refused_);
        f.run_for(100);
        f.commands_.tick(monotonic_now() + 1000);
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, f.answers_.size());
    }

    void a_resume_is_not_relayed()
    {
        commands_fixture f;
        f.send(statement_kind::resume_receiving);
        CPPUNIT_ASSERT(f.wait_for_answers(1));
        CPPUNIT_ASSERT(!f.answers_[0].status_);
        CPPUNIT_ASSERT_EQUAL(std::size_t{0}, f.links_.open_links());
    }

    void other_statements_are_not_relayed()
    {
        commands_fixture f;
        std::size_t ran = f.members_[0]->ran_.size();
        auto link = f.links_.link_to(f.home_, monotonic_now());
        f.run_for(50);
        bool failed = false;
        link->command(
            {.service_ = "svc",
             .endpoint_id_ = "m1",
             .address_ = f.entries_[0].address_,
             .kind_ = static_cast<std::int64_t>(statement_kind::write)},
            [&](const result<endpoint_command_reply>& got)
            {
                failed = !got;
            });
        f.run_for(50);
        CPPUNIT_ASSERT(failed);
        CPPUNIT_ASSERT_EQUAL(ran, f.members_[0]->ran_.size());
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(endpoint_commands_test);

} // namespace
} // namespace tanagerspan
