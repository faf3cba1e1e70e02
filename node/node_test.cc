// Tests of the proxy's settings file and of the decision journal.

#include <fstream>

#include "node/decision_journal.h"
#include "node/proxy_settings.h"
#include "testing/check.h"

namespace tanagerspan
{
namespace
{

const std::string& valid_settings()
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
    CPPUNIT_TEST(valid_settings_are_accepted);
    CPPUNIT_TEST(missing_and_mistyped_keys_are_rejected);
    CPPUNIT_TEST(addresses_must_be_ip_and_port);
    CPPUNIT_TEST(truncated_settings_are_rejected);
    CPPUNIT_TEST(journal_is_bounded_and_searchable);
    CPPUNIT_TEST_SUITE_END();

    void valid_settings_are_accepted()
    {
        auto parsed = parse_proxy_settings(valid_settings());
        CPPUNIT_ASSERT(parsed.has_value());
        CPPUNIT_ASSERT_EQUAL(std::int64_t{600}, parsed->silence_ms_);
        CPPUNIT_ASSERT(load_proxy_settings("/no/such/file").error().code_ ==
                       error_code::not_found);
    }

    void missing_and_mistyped_keys_are_rejected()
    {
        auto document = *parse_json(valid_settings(), true);
        for (const auto& [key, value] : document.items())
        {
            auto changed = document;
            changed.erase(key);
            auto parsed = parse_proxy_settings(changed.dump());
            CPPUNIT_ASSERT(parsed.error().code_ == error_code::malformed);
            CPPUNIT_ASSERT(parsed.error().detail_.find(key) !=
                           std::string::npos);
            changed = document;
            changed[key] = 7;
            CPPUNIT_ASSERT(parse_proxy_settings(changed.dump()).error().code_ ==
                           error_code::malformed);
        }
    }

    void addresses_must_be_ip_and_port()
    {
        for (const char* bad : {"localhost:80", "127.0.0.1:", "127.0.0.1:x9",
                                "1.2.3.4:99999", "example.org:443"})
        {
            auto document = *parse_json(valid_settings(), true);
            document["peers_address"] = bad;
            CPPUNIT_ASSERT(
                parse_proxy_settings(document.dump()).error().code_ ==
                error_code::out_of_range);
        }
    }

    void truncated_settings_are_rejected()
    {
        const auto& text = valid_settings();
        for (std::size_t size = 0; size < text.size() - 1; ++size)
            CPPUNIT_ASSERT(!parse_proxy_settings(text.substr(0, size)));
    }

    void journal_is_bounded_and_searchable()
    {
        decision_journal journal;
        for (std::size_t i = 0; i < decision_journal::max_entries + 10; ++i)
            journal.add({.what_ = "claim",
                         .subject_ = i % 2 == 0 ? "a/b" : "c/d",
                         .cause_ = "x",
                         .correlation_ = std::to_string(i)});
        CPPUNIT_ASSERT_EQUAL(decision_journal::max_entries,
                             journal.find("").size());
        CPPUNIT_ASSERT_EQUAL(decision_journal::max_entries / 2,
                             journal.find("a/b").size());
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, journal.find("2000").size());
        CPPUNIT_ASSERT(journal.find("1").empty());
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(node_test);

} // namespace
} // namespace tanagerspan
