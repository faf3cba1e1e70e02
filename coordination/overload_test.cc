// Tests of the queue order and of the concurrency window when an endpoint gets
// more work than it can do.

#include <algorithm>
#include <random>

#include "coordination/concurrency_window.h"
#include "coordination/queue_order.h"
#include "testing/check.h"

namespace tanagerspan
{
namespace
{

class overload_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(overload_test);
    CPPUNIT_TEST(priority_comes_first);
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
