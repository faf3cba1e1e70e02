// Tests of queue order, load shedding and concurrency window when an endpoint
// gets more work than it can do.

#include <algorithm>
#include <deque>
#include <random>

#include "coordination/concurrency_window.h"
#include "coordination/queue_order.h"
#include "testing/check.h"

namespace tanagerspan
{
namespace
{

struct job
{
    queue_order order_;
    std::int64_t arrived_ms_ = 0;
};

struct simulation_result
{
    int in_time_ = 0;
    int late_ = 0;
    int refused_ = 0;
};

/// Simulates one server that takes `work_ms` for a job, with a new job every
/// `every_ms`, for `for_ms`. Jobs are served by their sort key or, for
/// comparison, by arrival.
simulation_result simulate(bool by_rank, std::int64_t every_ms,
                           std::int64_t work_ms, std::int64_t for_ms)
{
    constexpr std::int64_t target_ms = 250;
    constexpr std::int64_t limit_ms = 800;
    simulation_result out;
    std::deque<job> waiting;
    std::int64_t free_at = 0;
    instant served = never;
    for (std::int64_t now = 0; now < for_ms; ++now)
    {
        if (now % every_ms == 0)
            waiting.push_back(
                {{.latest_start_ = latest_start(instant{now}, target_ms)},
                 now});
        std::erase_if(waiting,
                      [&](const job& one)
                      {
                          bool over =
                              by_rank
                                  ? should_shed(instant{one.arrived_ms_},
                                                limit_ms, served, instant{now})
                                  : now - one.arrived_ms_ >= limit_ms;
                          out.refused_ += over ? 1 : 0;
                          return over;
                      });
        if (now < free_at || waiting.empty())
            continue;
        auto next = waiting.begin();
        if (by_rank)
            next =
                std::min_element(waiting.begin(), waiting.end(),
                                 [&](const job& one, const job& other)
                                 {
                                     return one.order_.sort_key(instant{now}) <
                                            other.order_.sort_key(instant{now});
                                 });
        free_at = now + work_ms;
        served = instant{now};
        bool in_time = free_at <= next->arrived_ms_ + target_ms;
        (in_time ? out.in_time_ : out.late_) += 1;
        waiting.erase(next);
    }
    return out;
}

class overload_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(overload_test);
    CPPUNIT_TEST(priority_comes_first);
    CPPUNIT_TEST(under_overload_work_is_served_in_time);
    CPPUNIT_TEST(without_overload_nothing_is_refused);
    CPPUNIT_TEST(nothing_is_shed_while_nothing_is_served);
    CPPUNIT_TEST(a_window_stays_within_its_bounds);
    CPPUNIT_TEST(a_window_keeps_a_shared_queue_short);
    CPPUNIT_TEST_SUITE_END();

    void priority_comes_first()
    {
        CHECK_PROPERTY(
            "a lower priority number has a smaller key",
            [](bool late_first, bool late_other)
            {
                instant now{1000};
                queue_order urgent{1, instant{late_first ? 900 : 1100}};
                queue_order other{2, instant{late_other ? 900 : 1100}};
                RC_ASSERT(urgent.sort_key(now) < other.sort_key(now));
            });
    }

    // For ten seconds, work arrives at one and a half times the rate that the
    // server can do.
    void under_overload_work_is_served_in_time()
    {
        simulation_result ranked = simulate(true, 12, 18, 10'000);
        simulation_result arrival = simulate(false, 12, 18, 10'000);
        CPPUNIT_ASSERT(ranked.in_time_ > 500);
        CPPUNIT_ASSERT(arrival.in_time_ < 100);
        CPPUNIT_ASSERT(ranked.late_ < 10);
    }

    void without_overload_nothing_is_refused()
    {
        simulation_result result = simulate(true, 20, 18, 10'000);
        CPPUNIT_ASSERT_EQUAL(0, result.refused_);
        CPPUNIT_ASSERT_EQUAL(0, result.late_);
    }

    void nothing_is_shed_while_nothing_is_served()
    {
        CPPUNIT_ASSERT(!should_shed(instant{0}, 800, never, instant{700}));
        CPPUNIT_ASSERT(
            !should_shed(instant{0}, 800, instant{100}, instant{700}));
        CPPUNIT_ASSERT(
            should_shed(instant{0}, 800, instant{650}, instant{700}));
        CPPUNIT_ASSERT(
            !should_shed(instant{0}, 800, instant{350}, instant{399}));
    }

    void a_window_stays_within_its_bounds()
    {
        CHECK_PROPERTY("the window stays within its bounds",
                       [](const std::vector<std::uint16_t>& answers)
                       {
                           concurrency_window window({});
                           window.set_max(5);
                           for (std::uint16_t took : answers)
                           {
                               if (took % 7 == 0)
                                   window.on_refused();
                               else
                                   window.on_answer(took, took % 6);
                               RC_ASSERT(window.size() >= 1.0 &&
                                         window.size() <= 5.0);
                               RC_ASSERT(window.has_room(0));
                           }
                       });
    }

    // Six proxies send as much as their windows allow to an endpoint with three
    // slots. Its queue stays far below the 40 statements that the proxies'
    // connections could hold.
    void a_window_keeps_a_shared_queue_short()
    {
        constexpr int proxies = 6;
        constexpr std::int64_t slots = 3;
        std::mt19937 random(20261204);
        std::exponential_distribution<double> work(1.0 / 18.0);
        std::vector<concurrency_window> windows(
            proxies, concurrency_window({.max_ = 7}));
        struct running_job
        {
            int proxy_;
            double started_;
            double ends_;
        };
        std::vector<running_job> jobs;
        std::vector<double> slot_free(slots, 0.0);
        std::vector<std::int64_t> at(proxies, 0);
        std::size_t max_in_flight = 0;
        for (double now = 0; now < 20'000; now += 1)
        {
            std::erase_if(jobs,
                          [&](const running_job& one)
                          {
                              if (one.ends_ > now)
                                  return false;
                              windows[one.proxy_].on_answer(
                                  one.ends_ - one.started_, at[one.proxy_]);
                              --at[one.proxy_];
                              return true;
                          });
            for (int proxy = 0; proxy < proxies; ++proxy)
            {
                while (windows[proxy].has_room(at[proxy]))
                {
                    auto slot =
                        std::min_element(slot_free.begin(), slot_free.end());
                    double begins = std::max(*slot, now);
                    *slot = begins + work(random);
                    jobs.push_back({proxy, now, *slot});
                    ++at[proxy];
                }
            }
            if (now > 5000)
                max_in_flight = std::max(max_in_flight, jobs.size());
        }
        // Half of 40; without the window 42 run or wait there.
        CPPUNIT_ASSERT(max_in_flight <= 20);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(overload_test);

} // namespace
} // namespace tanagerspan
