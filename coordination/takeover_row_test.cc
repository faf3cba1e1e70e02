// Tests of takeover_row: which of two rows comes first, and the rows that are
// written after a restore of the store.

#include "coordination/takeover_row.h"
#include "testing/check.h"

namespace tanagerspan
{
namespace
{

class takeover_row_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(takeover_row_test);
    CPPUNIT_TEST(rows_are_ordered_by_token_and_stage);
    CPPUNIT_TEST(restored_row_adds_the_time_since_its_receipt);
    CPPUNIT_TEST(tokens_of_a_later_era_are_higher);
    CPPUNIT_TEST_SUITE_END();

    // Every pair of rows in the history of a service.
    void rows_are_ordered_by_token_and_stage()
    {
        std::vector<takeover_row> history{takeover_row{}};
        for (std::int64_t token : {1, 2, 3})
        {
            for (const char* stage : {"claimed", "ordered", "done"})
                history.push_back({.token_ = token, .stage_ = stage});
        }
        for (std::size_t i = 0; i < history.size(); ++i)
        {
            for (std::size_t j = 0; j < history.size(); ++j)
                CPPUNIT_ASSERT_EQUAL(i < j, is_earlier(history[i], history[j]));
        }
        takeover_row given_up{.token_ = 2, .stage_ = "given_up"};
        CPPUNIT_ASSERT(is_earlier(history[5], given_up));
        CPPUNIT_ASSERT(is_earlier(given_up, history[7]));
    }

    void restored_row_adds_the_time_since_its_receipt()
    {
        takeover_row known{.token_ = 4,
                           .holder_ = "host-1",
                           .stage_ = "ordered",
                           .ordered_ = "e-2",
                           .ordered_age_ms_ = -6000,
                           .floor_ = {.term_ = 3, .index_ = 9},
                           .term_ = 4,
                           .resumed_ = {"e-3"},
                           .resumed_age_ms_ = 100};
        takeover_row out = make_restored_row(known, 500);
        CPPUNIT_ASSERT_EQUAL(std::int64_t{-5500}, out.ordered_age_ms_);
        CPPUNIT_ASSERT_EQUAL(std::int64_t{600}, out.resumed_age_ms_);
        out.ordered_age_ms_ = known.ordered_age_ms_;
        out.resumed_age_ms_ = known.resumed_age_ms_;
        CPPUNIT_ASSERT_EQUAL(encode(known).dump(), encode(out).dump());
    }

    void tokens_of_a_later_era_are_higher()
    {
        constexpr std::int64_t many_claims = 100'000;
        for (std::int64_t era : {0, 1, 2, 1000})
            CPPUNIT_ASSERT(first_token(era) + many_claims <
                           first_token(era + 1));
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(takeover_row_test);

} // namespace
} // namespace tanagerspan
