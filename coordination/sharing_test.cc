// Tests of home ranking, seat shares, the admission queue, the retry budget and
// settings changes.

#include <numeric>
#include <set>

#include "coordination/admission_queue.h"
#include "coordination/home_ranking.h"
#include "coordination/retry_budget.h"
#include "coordination/settings_change.h"
#include "stand_ins/table_state.h"
#include "testing/check.h"

namespace tanagerspan
{
namespace
{

class sharing_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(sharing_test);
    CPPUNIT_TEST(shares_add_up_to_the_limit);
    CPPUNIT_TEST(removing_a_proxy_moves_only_its_services);
    CPPUNIT_TEST(cached_rankings_equal_computed_ones);
    CPPUNIT_TEST(slots_are_never_exceeded_and_urgent_goes_first);
    CPPUNIT_TEST(a_gate_check_waits_for_one_statement_at_most);
    CPPUNIT_TEST(low_priority_work_does_not_starve);
    CPPUNIT_TEST(a_full_queue_still_takes_urgent_work);
    CPPUNIT_TEST(retries_are_bounded);
    CPPUNIT_TEST(concurrent_changes_are_answered_truthfully);
    CPPUNIT_TEST_SUITE_END();

    void shares_add_up_to_the_limit()
    {
        for (std::int64_t limit = 0; limit <= 60; ++limit)
        {
            for (std::int64_t homes = 1; homes <= 16; ++homes)
            {
                std::int64_t sum = 0;
                for (std::int64_t rank = -1; rank <= homes; ++rank)
                    sum += seat_share(limit, rank, homes);
                CPPUNIT_ASSERT_EQUAL(limit, sum);
            }
        }
    }

    void removing_a_proxy_moves_only_its_services()
    {
        std::vector<std::string> proxies;
        proxies.reserve(8);
        for (int i = 0; i < 8; ++i)
            proxies.push_back("proxy-" + std::to_string(i));
        auto fewer = proxies;
        fewer.erase(fewer.begin() + 3);
        for (int s = 0; s < 200; ++s)
        {
            auto service = "team/" + std::to_string(s);
            auto before = rank_homes(service, proxies, 2);
            auto after = rank_homes(service, fewer, 2);
            std::erase(before, "proxy-3");
            for (const auto& home : before)
                CPPUNIT_ASSERT(std::find(after.begin(), after.end(), home) !=
                               after.end());
        }
    }

    void cached_rankings_equal_computed_ones()
    {
        CHECK_PROPERTY("cached rankings equal computed ones",
                       []
                       {
                           ranking_cache table;
                           for (int round = 0; round < 12; ++round)
                           {
                               unsigned drawn = *rc::gen::inRange(0U, 512U);
                               std::vector<std::string> live;
                               for (unsigned i = 0; i < 9; ++i)
                               {
                                   if ((drawn >> i & 1U) != 0)
                                       live.push_back("p" + std::to_string(i));
                               }
                               table.set_live(live);
                               for (int s = 0; s < 20; ++s)
                               {
                                   auto service = "t/" + std::to_string(s);
                                   RC_ASSERT(table.homes_of(service, 2) ==
                                             rank_homes(service, live, 2));
                               }
                           }
                       });
    }

    void slots_are_never_exceeded_and_urgent_goes_first()
    {
        CHECK_PROPERTY(
            "slots are not exceeded, urgent work goes first",
            [](const std::vector<unsigned>& steps)
            {
                admission_queue queue({.slots_ = 3, .max_waiting_ = 10});
                instant now{0};
                std::uint64_t id = 0;
                std::map<std::uint64_t, std::int64_t> waiting;
                for (unsigned step : steps)
                {
                    now = now + 1;
                    if (step % 3 == 0 && queue.running() > 0)
                        queue.release();
                    admission_queue::ticket work{
                        .id_ = ++id,
                        .priority_ = static_cast<std::int64_t>(step % 5),
                        .deadline_ = now + 500};
                    auto offered = queue.offer(work, now);
                    if (offered)
                        waiting[work.id_] = work.priority_;
                    if (offered && *offered)
                        waiting.erase(**offered);
                    for (auto granted : queue.grant(now))
                    {
                        auto best = waiting.at(granted);
                        waiting.erase(granted);
                        for (const auto& [other, priority] : waiting)
                            RC_ASSERT(priority >= best);
                    }
                    RC_ASSERT(queue.running() <= 3);
                    RC_ASSERT(queue.waiting() <= 10U);
                }
            });
    }

    // One slot, constant service time, more low-priority work than it can do:
    // a statement of priority 0 waits at most for the one that is running.
    void a_gate_check_waits_for_one_statement_at_most()
    {
        constexpr std::int64_t service_ms = 40;
        admission_queue queue(
            {.slots_ = 1, .max_waiting_ = 500, .aging_ms_ = 100});
        std::map<std::uint64_t, instant> gate_since;
        std::uint64_t id = 0;
        instant now{0};
        instant busy_until = never;
        for (; now < instant{20'000}; now = now + 1)
        {
            if (now == busy_until)
                queue.release();
            auto offer = [&](std::int64_t priority)
            {
                static_cast<void>(queue.offer({.id_ = ++id,
                                               .priority_ = priority,
                                               .deadline_ = now + 9000},
                                              now));
            };
            offer(6);
            if (now.ms_ % 97 == 0)
            {
                offer(0);
                gate_since[id] = now;
            }
            for (auto granted : queue.grant(now))
            {
                busy_until = now + service_ms;
                gate_since.erase(granted);
            }
            for (const auto& [waiting, since] : gate_since)
                CPPUNIT_ASSERT(now - since <= service_ms);
        }
    }

    void low_priority_work_does_not_starve()
    {
        admission_queue queue(
            {.slots_ = 1, .max_waiting_ = 100, .aging_ms_ = 50});
        instant now{0};
        static_cast<void>(queue.offer(
            {.id_ = 1, .priority_ = 9, .deadline_ = now + 90'000}, now));
        static_cast<void>(queue.offer(
            {.id_ = 2, .priority_ = 2, .deadline_ = now + 90'000}, now));
        bool granted = false;
        CPPUNIT_ASSERT(queue.grant(now).at(0) == 2);
        for (std::uint64_t id = 3; id < 200 && !granted; ++id)
        {
            now = now + 1;
            static_cast<void>(queue.offer(
                {.id_ = id, .priority_ = 2, .deadline_ = now + 90'000}, now));
            queue.release();
            granted = queue.grant(now).at(0) == 1;
        }
        CPPUNIT_ASSERT(granted);
    }

    void a_full_queue_still_takes_urgent_work()
    {
        admission_queue queue({.slots_ = 1, .max_waiting_ = 4});
        instant now{0};
        for (std::uint64_t id = 1; id <= 4; ++id)
            CPPUNIT_ASSERT(queue.offer(
                {.id_ = id, .priority_ = 6, .deadline_ = now + 100}, now));
        CPPUNIT_ASSERT(
            queue.offer({.id_ = 5, .priority_ = 6, .deadline_ = now + 100}, now)
                .error()
                .code_ == error_code::queue_full);
        auto urgent = queue.offer(
            {.id_ = 6, .priority_ = 0, .deadline_ = now + 100}, now);
        CPPUNIT_ASSERT(urgent && *urgent == 4U);
        CPPUNIT_ASSERT_EQUAL(std::size_t{4}, queue.expire(now + 100).size());
    }

    void retries_are_bounded()
    {
        retry_budget budget({.earned_per_attempt_ = 0.2, .cap_ = 10});
        int spent = 0;
        for (int i = 0; i < 1000; ++i)
        {
            budget.on_first_attempt();
            for (int retry = 0; retry < 5; ++retry)
                spent += budget.try_spend() ? 1 : 0;
        }
        CPPUNIT_ASSERT(spent <= 1000 / 5 + 10);
    }

    // Two operators change one branch, and answers are lost after the effect.
    // A change reported as accepted must be in the row's list of changes; one
    // reported as a conflict must not.
    void concurrent_changes_are_answered_truthfully()
    {
        CHECK_PROPERTY("accepted changes are in the row, refused ones are not",
                       []
                       {
                           auto order = *rc::gen::container<std::vector<int>>(
                               60, rc::gen::inRange(0, 8));
                           bool any_version = *rc::gen::arbitrary<bool>();
                           run_concurrent_changes(order, any_version);
                       });
    }

    static void run_concurrent_changes(const std::vector<int>& order,
                                       bool any_version)
    {
        table_state table;
        std::vector<settings_change> operators;
        std::vector<std::optional<result<settings_branch>>> results(2);
        for (const char* id : {"first", "second"})
        {
            settings_change::options opts{
                .wanted_ = {.team_ = "t", .change_id_ = id},
                .deadline_ = instant{1000}};
            if (!any_version)
                opts.expected_ = 0;
            operators.emplace_back(opts);
        }
        int now_ms = 0;
        auto step = [&](int who, bool lost)
        {
            auto& one = operators[static_cast<std::size_t>(who)];
            auto action = one.step(instant{now_ms});
            if (auto* end = std::get_if<settings_change::finish>(&action))
            {
                results[static_cast<std::size_t>(who)] = end->result_;
                return;
            }
            if (auto* write = std::get_if<settings_change::write_row>(&action))
            {
                auto got = table.change({.key_ = "settings/t",
                                         .expected_ = write->expected_,
                                         .value_ = encode(write->row_).dump()});
                one.on_write(lost  ? fail(error_code::lost)
                             : got ? result<void>{}
                                   : result<void>(tl::unexpected(got.error())));
                return;
            }
            auto row = table.find("settings/t");
            if (lost)
                one.on_read(fail(error_code::lost));
            else if (row)
                one.on_read(
                    std::optional(*decode_text<settings_row>(row->value_)));
            else
                one.on_read(std::optional<settings_row>{});
        };
        for (int choice : order)
            step(choice % 2, choice >= 6);
        now_ms = 2000;
        step(0, false);
        step(1, false);
        auto row = table.find("settings/t");
        std::set<std::string> in_row;
        if (row)
        {
            auto held = decode_text<settings_row>(row->value_);
            RC_ASSERT(held.has_value());
            RC_ASSERT(held->branch_.version_ == row->version_);
            in_row = {held->recent_changes_.begin(),
                      held->recent_changes_.end()};
            RC_ASSERT(in_row.size() == held->recent_changes_.size());
        }
        for (int who = 0; who < 2; ++who)
        {
            const auto& end = *results[static_cast<std::size_t>(who)];
            bool in = in_row.contains(who == 0 ? "first" : "second");
            if (end)
                RC_ASSERT(in);
            else if (end.error().code_ != error_code::lost)
                RC_ASSERT(!in);
        }
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(sharing_test);

} // namespace
} // namespace tanagerspan
