// Tests of the proxy's settings file and of the decision journal.

#include <fstream>

#include "node/decision_journal.h"
#include "node/proxy_settings.h"
#include "testing/check.h"

namespace tanagerspan
{
namespace
{

const std::string& good_settings()
{
    static const std::string text = R"({
        // A comment.
        "name": "p", "data_centre": "d",
        "callers_address": "127.0.0.1:1", "peers_address": "127.0.0.1:2",
        "platform_address": "[::1]:3", "fleet_key": "0123456789abcdef"
    })";
    return text;
}

class node_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(node_test);
    CPPUNIT_TEST(good_settings_are_taken);
    CPPUNIT_TEST(each_required_key_is_missed);
    CPPUNIT_TEST(addresses_are_ip_numbers);
    CPPUNIT_TEST(any_cut_of_the_file_is_refused);
    CPPUNIT_TEST(the_journal_is_bounded_and_answers);
    CPPUNIT_TEST_SUITE_END();

    void good_settings_are_taken()
    {
        auto got = parse_proxy_settings(good_settings());
        CPPUNIT_ASSERT(got.has_value());
        CPPUNIT_ASSERT_EQUAL(std::int64_t{600}, got->silence_ms_);
        CPPUNIT_ASSERT(load_proxy_settings("/no/such/file").error().code_ ==
                       error_code::not_found);
    }

    void each_required_key_is_missed()
    {
        auto whole = *parse_json(good_settings(), true);
        for (const auto& [key, value] : whole.items())
        {
            auto part = whole;
            part.erase(key);
            auto got = parse_proxy_settings(part.dump());
            CPPUNIT_ASSERT(got.error().code_ == error_code::malformed);
            CPPUNIT_ASSERT(got.error().detail_.find(key) != std::string::npos);
            part = whole;
            part[key] = 7;
            CPPUNIT_ASSERT(parse_proxy_settings(part.dump()).error().code_ ==
                           error_code::malformed);
        }
    }

    void addresses_are_ip_numbers()
    {
        for (const char* bad : {"localhost:80", "127.0.0.1:", "127.0.0.1:x9",
                                "1.2.3.4:99999", "example.org:443"})
        {
            auto whole = *parse_json(good_settings(), true);
            whole["peers_address"] = bad;
            CPPUNIT_ASSERT(parse_proxy_settings(whole.dump()).error().code_ ==
                           error_code::out_of_range);
        }
    }

    void any_cut_of_the_file_is_refused()
    {
        const auto& text = good_settings();
        for (std::size_t size = 0; size < text.size() - 1; ++size)
            CPPUNIT_ASSERT(!parse_proxy_settings(text.substr(0, size)));
    }

    void the_journal_is_bounded_and_answers()
    {
        decision_journal journal;
        for (std::size_t i = 0; i < decision_journal::max_kept + 10; ++i)
            journal.add({.what_ = "claim",
                         .subject_ = i % 2 == 0 ? "a/b" : "c/d",
                         .cause_ = "x",
                         .correlation_ = std::to_string(i)});
        CPPUNIT_ASSERT_EQUAL(decision_journal::max_kept,
                             journal.about("").size());
        CPPUNIT_ASSERT_EQUAL(decision_journal::max_kept / 2,
                             journal.about("a/b").size());
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, journal.about("2000").size());
        CPPUNIT_ASSERT(journal.about("1").empty());
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(node_test);

} // namespace
} // namespace tanagerspan
