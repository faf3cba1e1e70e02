// Tests of the decision which waiting statements are refused, by enumeration
// and by simulations of a service that gets more work than it can do.

#include <algorithm>
#include <random>

#include "coordination/admission_plan.h"
#include "coordination/load_estimates.h"
#include "testing/check.h"

namespace tanagerspan
{
namespace
{

/// A route of the simulated service.
struct simulated_route
{
    std::int64_t priority_ = 1;
    std::int64_t target_ms_ = 400;
    double work_ms_ = 24;
    double per_s_ = 100;
};

struct route_result
{
    int arrived_ = 0;
    int in_time_ = 0;
    int late_ = 0;
    int refused_ = 0;
    std::int64_t longest_refused_wait_ms_ = 0;

    double in_time_share() const
    {
        return static_cast<double>(in_time_) / arrived_;
    }
};

/// One proxy before one endpoint with some slots, in virtual time.
class simulated_service
{
public:
    struct options
    {
        std::vector<simulated_route> routes_{};
        int slots_ = 3;
        std::int64_t for_ms_ = 10'000;
        /// The endpoint does not answer from here on for `stopped_ms_`.
        std::int64_t stopped_at_ms_ = -1;
        std::int64_t stopped_ms_ = 0;
    };

    explicit simulated_service(options opts)
        : options_(std::move(opts)), loads_(options_.routes_.size()),
          results_(options_.routes_.size()),
          slots_(static_cast<std::size_t>(options_.slots_))
    {
    }

    std::vector<route_result> run()
    {
        for (now_ = 0; now_ < options_.for_ms_; ++now_)
        {
            arrive();
            bool stopped =
                now_ >= options_.stopped_at_ms_ &&
                now_ < options_.stopped_at_ms_ + options_.stopped_ms_;
            if (!stopped)
                answer();
            dispatch();
            refuse();
        }
        return results_;
    }

private:
    static constexpr std::int64_t timeout_ms = 1000;

    struct job
    {
        std::size_t route_ = 0;
        std::int64_t arrived_ms_ = 0;
        std::int64_t granted_ms_ = 0;
        double work_ms_ = 0;
    };

    queue_order order_of(const job& one) const
    {
        const auto& route = options_.routes_[one.route_];
        return {.priority_ = route.priority_,
                .latest_start_ =
                    latest_start(instant{one.arrived_ms_}, route.target_ms_)};
    }

    void arrive()
    {
        std::uniform_real_distribution<double> chance(0, 1000);
        for (std::size_t i = 0; i < options_.routes_.size(); ++i)
        {
            if (chance(random_) >= options_.routes_[i].per_s_)
                continue;
            std::gamma_distribution<double> work(
                4.0, options_.routes_[i].work_ms_ / 4.0);
            waiting_.push_back({i, now_, 0, work(random_)});
            ++results_[i].arrived_;
        }
    }

    void answer()
    {
        for (auto& slot : slots_)
        {
            if (!slot ||
                static_cast<double>(now_ - slot->granted_ms_) < slot->work_ms_)
                continue;
            std::size_t route = slot->route_;
            bool in_time =
                now_ - slot->arrived_ms_ <= options_.routes_[route].target_ms_;
            ++(in_time ? results_[route].in_time_ : results_[route].late_);
            loads_[route].on_answer(
                static_cast<double>(now_ - slot->granted_ms_), backlogged_);
            pace_.on_answer(loads_[route].work_ms(), backlogged_,
                            instant{now_});
            slot.reset();
        }
    }

    void dispatch()
    {
        std::stable_sort(waiting_.begin(), waiting_.end(),
                         [&](const job& one, const job& other)
                         {
                             return order_of(one).sort_key(instant{now_}) <
                                    order_of(other).sort_key(instant{now_});
                         });
        for (auto& slot : slots_)
        {
            if (slot || waiting_.empty())
                continue;
            slot = waiting_.front();
            slot->granted_ms_ = now_;
            loads_[slot->route_].on_decided(true);
            waiting_.erase(waiting_.begin());
        }
        backlogged_ = !waiting_.empty();
    }

    void refuse()
    {
        std::vector<waiting_statement> statements;
        for (const job& one : waiting_)
            statements.push_back(
                {.order_ = order_of(one),
                 .deadline_ = instant{one.arrived_ms_ + timeout_ms},
                 .work_ms_ = loads_[one.route_].work_ms(),
                 .served_share_ = loads_[one.route_].served_share(),
                 .endpoints_ = {0}});
        std::vector<std::optional<double>> paces{
            pace_.ms_per_work_ms(instant{now_})};
        std::vector<bool> gone(waiting_.size());
        for (const auto& one : plan_refusals(statements, paces, instant{now_}))
        {
            gone[one.index_] = true;
            loads_[waiting_[one.index_].route_].on_decided(false);
        }
        for (std::size_t i = 0; i < waiting_.size(); ++i)
            gone[i] = gone[i] || now_ - waiting_[i].arrived_ms_ >= timeout_ms;
        std::vector<job> left;
        for (std::size_t i = 0; i < waiting_.size(); ++i)
        {
            const job& one = waiting_[i];
            if (!gone[i])
            {
                left.push_back(one);
                continue;
            }
            auto& result = results_[one.route_];
            ++result.refused_;
            result.longest_refused_wait_ms_ = std::max(
                result.longest_refused_wait_ms_, now_ - one.arrived_ms_);
        }
        waiting_ = std::move(left);
    }

    options options_;
    std::vector<route_load> loads_;
    std::vector<route_result> results_;
    service_pace pace_;
    std::vector<std::optional<job>> slots_;
    std::vector<job> waiting_;
    bool backlogged_ = false;
    std::int64_t now_ = 0;
    std::mt19937 random_{20261204};
};

constexpr instant plan_time{10'000};

/// A statement that must start within `start_ms` to meet its target.
waiting_statement waiting(std::int64_t start_ms, double work_ms,
                          std::int64_t priority = 1)
{
    return {.order_ = {priority, plan_time + start_ms},
            .deadline_ = plan_time + 1000,
            .work_ms_ = work_ms,
            .endpoints_ = {0}};
}

/// How many of `all` but `refused` (a bit set) start in time, served in order
/// at one endpoint.
std::size_t started_in_time(const std::vector<waiting_statement>& all,
                            unsigned refused)
{
    double wait_ms = 0;
    std::size_t count = 0;
    for (std::size_t i = 0; i < all.size(); ++i)
    {
        if ((refused >> i & 1U) != 0)
            continue;
        auto left =
            static_cast<double>(all[i].order_.latest_start_ - plan_time);
        count += wait_ms <= left ? 1 : 0;
        wait_ms += all[i].work_ms_;
    }
    return count;
}

class admission_plan_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(admission_plan_test);
    CPPUNIT_TEST(most_statements_start_in_time);
    CPPUNIT_TEST(no_statement_of_a_higher_priority_is_refused);
    CPPUNIT_TEST(nothing_is_refused_without_a_pace);
    CPPUNIT_TEST(late_statements_wait_for_a_gap);
    CPPUNIT_TEST(lagging_replicas_leave_one_endpoint_for_all_reads);
    CPPUNIT_TEST(overload_by_one_route_is_served_in_time);
    CPPUNIT_TEST(an_even_load_is_not_refused);
    CPPUNIT_TEST(a_short_burst_is_served);
    CPPUNIT_TEST(nothing_is_refused_while_nothing_is_served);
    CPPUNIT_TEST_SUITE_END();

    // Compares the plan with all subsets: no other choice of what to refuse
    // lets more statements start in time.
    void most_statements_start_in_time()
    {
        CHECK_PROPERTY(
            "the plan refuses the fewest statements",
            []
            {
                auto starts = *rc::gen::resize(
                    7, rc::gen::arbitrary<std::vector<std::uint8_t>>());
                if (starts.size() > 8)
                    starts.resize(8);
                std::sort(starts.begin(), starts.end());
                std::vector<waiting_statement> all;
                all.reserve(starts.size());
                for (std::uint8_t start : starts)
                    all.push_back(waiting(start, *rc::gen::inRange(1, 120)));
                std::vector<std::optional<double>> paces{1.0};
                auto refused = plan_refusals(all, paces, plan_time);
                unsigned bits = 0;
                for (const auto& one : refused)
                    bits |= 1U << one.index_;
                std::size_t planned = started_in_time(all, bits);
                RC_ASSERT(planned == all.size() - refused.size());
                for (unsigned other = 0; other < 1U << all.size(); ++other)
                    RC_ASSERT(started_in_time(all, other) <= planned);
            });
    }

    void no_statement_of_a_higher_priority_is_refused()
    {
        std::vector<std::optional<double>> paces{1.0};
        for (double long_work : {10.0, 100.0, 1000.0})
        {
            std::vector<waiting_statement> all{waiting(50, long_work, 1),
                                               waiting(5, 10, 2)};
            auto refused = plan_refusals(all, paces, plan_time);
            CPPUNIT_ASSERT_EQUAL(std::size_t(1), refused.size());
            CPPUNIT_ASSERT_EQUAL(std::size_t(1), refused[0].index_);
            CPPUNIT_ASSERT_EQUAL(static_cast<std::int64_t>(long_work),
                                 refused[0].expected_wait_ms_);
            CPPUNIT_ASSERT_EQUAL(std::int64_t(5), refused[0].longest_wait_ms_);
        }
    }

    void nothing_is_refused_without_a_pace()
    {
        std::vector<waiting_statement> all(100, waiting(1, 50));
        all.push_back(waiting(-100, 50));
        std::vector<std::optional<double>> paces{std::nullopt, 1.0};
        CPPUNIT_ASSERT(plan_refusals(all, paces, plan_time).empty());
        // One of the endpoints that may run the statements could be idle.
        for (auto& one : all)
            one.endpoints_ = {0, 1};
        CPPUNIT_ASSERT(plan_refusals(all, paces, plan_time).empty());
        for (auto& one : all)
            one.endpoints_ = {};
        CPPUNIT_ASSERT(plan_refusals(all, paces, plan_time).empty());
        for (auto& one : all)
            one.endpoints_ = {1};
        CPPUNIT_ASSERT(!plan_refusals(all, paces, plan_time).empty());
    }

    void late_statements_wait_for_a_gap()
    {
        std::vector<std::optional<double>> paces{1.0};
        std::vector<waiting_statement> all{waiting(100, 30), waiting(100, 30),
                                           waiting(-50, 30), waiting(-10, 950),
                                           waiting(-10, 30)};
        auto refused = plan_refusals(all, paces, plan_time);
        // Only the last one would start after its timeout.
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), refused.size());
        CPPUNIT_ASSERT_EQUAL(std::size_t(4), refused[0].index_);
        // A statement that could be in time must be refused: no gap is left.
        all[1] = waiting(20, 30);
        CPPUNIT_ASSERT_EQUAL(std::size_t(4),
                             plan_refusals(all, paces, plan_time).size());
    }

    // Both replicas lag, so the reads of two routes go to the three slots of
    // the primary, with 1.6 times as much work as these can do.
    void lagging_replicas_leave_one_endpoint_for_all_reads()
    {
        auto results = simulated_service({.routes_ = {{1, 200, 8, 40},
                                                      {2, 600, 40, 30},
                                                      {2, 400, 24, 140}}})
                           .run();
        CPPUNIT_ASSERT(results[0].in_time_share() > 0.97);
        // Most of the short reads, and some of the long ones.
        CPPUNIT_ASSERT(results[2].in_time_share() > 0.6);
        CPPUNIT_ASSERT(results[1].in_time_share() > 0.1);
        for (std::size_t i = 0; i < results.size(); ++i)
        {
            // What is refused has waited for less than its target.
            CPPUNIT_ASSERT(results[i].late_ < results[i].arrived_ / 50);
            CPPUNIT_ASSERT(results[i].longest_refused_wait_ms_ < 400);
        }
    }

    // For ten seconds, work of one kind arrives at one and a half times the
    // rate that a single slot can do.
    void overload_by_one_route_is_served_in_time()
    {
        auto result =
            simulated_service({.routes_ = {{1, 250, 18, 83}}, .slots_ = 1})
                .run()[0];
        CPPUNIT_ASSERT(result.in_time_ > 500);
        CPPUNIT_ASSERT(result.late_ < 10);
    }

    void an_even_load_is_not_refused()
    {
        for (double per_s : {20.0, 60.0, 90.0})
        {
            auto results =
                simulated_service(
                    {.routes_ = {{1, 200, 8, per_s / 3}, {2, 400, 24, per_s}}})
                    .run();
            for (const auto& result : results)
            {
                CPPUNIT_ASSERT_EQUAL(0, result.refused_);
                CPPUNIT_ASSERT_EQUAL(0, result.late_);
            }
        }
    }

    // A burst that ends before its statements miss their targets.
    void a_short_burst_is_served()
    {
        std::vector<waiting_statement> burst(9, waiting(240, 24));
        std::vector<std::optional<double>> paces{1.0};
        CPPUNIT_ASSERT(plan_refusals(burst, paces, plan_time).empty());
    }

    // For 600 ms, as during a takeover, the endpoint answers nothing. The
    // statements that arrived meanwhile wait and are served late.
    void nothing_is_refused_while_nothing_is_served()
    {
        auto results = simulated_service({.routes_ = {{1, 400, 20, 60}},
                                          .for_ms_ = 6000,
                                          .stopped_at_ms_ = 2000,
                                          .stopped_ms_ = 600})
                           .run();
        CPPUNIT_ASSERT_EQUAL(0, results[0].refused_);
        CPPUNIT_ASSERT(results[0].late_ > 0);
        CPPUNIT_ASSERT(results[0].late_ < 40);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(admission_plan_test);

} // namespace
} // namespace tanagerspan
