// Tests of records, session tokens, the settings tree and latency histograms.

#include <sstream>

#include "state/endpoint_records.h"
#include "state/latency_histograms.h"
#include "state/session_token.h"
#include "state/settings_tree.h"
#include "testing/check.h"

namespace tanagerspan
{
namespace
{

constexpr std::string_view key = "a key of sixteen bytes or more";

template <class T>
std::string decode_error(std::string_view text)
{
    auto got = decode_text<T>(text, true);
    return got ? "accepted"
               : std::string(name_of(got.error().code_)) + " " +
                     got.error().detail_;
}

bool starts_with(const std::string& text, std::string_view with)
{
    return text.starts_with(with);
}

class state_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(state_test);
    CPPUNIT_TEST(failure_names_round_trip);
    CPPUNIT_TEST(invalid_settings_have_error_codes);
    CPPUNIT_TEST(records_round_trip);
    CPPUNIT_TEST(decoding_never_throws);
    CPPUNIT_TEST(token_round_trips);
    CPPUNIT_TEST(truncated_and_modified_tokens_are_rejected);
    CPPUNIT_TEST(token_positions_never_decrease);
    CPPUNIT_TEST(merge_keeps_the_highest_version);
    CPPUNIT_TEST(exchanging_branches_makes_trees_equal);
    CPPUNIT_TEST(merge_adds_the_counts_of_histograms);
    CPPUNIT_TEST_SUITE_END();

    void failure_names_round_trip()
    {
        for (int i = 0; i <= static_cast<int>(error_code::unavailable); ++i)
        {
            auto code = static_cast<error_code>(i);
            CPPUNIT_ASSERT(error_code_of(name_of(code)) == code);
        }
    }

    void invalid_settings_have_error_codes()
    {
        using settings = team_settings;
        CPPUNIT_ASSERT(starts_with(decode_error<settings>("{"), "malformed"));
        CPPUNIT_ASSERT(starts_with(decode_error<settings>("[]"), "malformed"));
        CPPUNIT_ASSERT(starts_with(decode_error<settings>(R"({"servces":{}})"),
                                   "unknown_key .servces"));
        CPPUNIT_ASSERT(
            starts_with(decode_error<settings>(R"({"max_waiting":0})"),
                        "out_of_range .max_waiting: found 0"));
        CPPUNIT_ASSERT(
            starts_with(decode_error<settings>(R"({"max_waiting":"9"})"),
                        "malformed .max_waiting"));
        CPPUNIT_ASSERT(
            starts_with(decode_error<settings>(R"({"max_waiting":1.5})"),
                        "malformed .max_waiting"));
        CPPUNIT_ASSERT(starts_with(
            decode_error<settings>(R"({"services":{"o":{"slots":3}}})"),
            "malformed .services.o.members: required key is missing"));
        CPPUNIT_ASSERT(starts_with(
            decode_error<settings>(
                R"({"services":{"o":{"members":{"a":"1"},"slots":-1}}})"),
            "out_of_range .services.o.slots"));
        CPPUNIT_ASSERT(starts_with(
            decode_error<settings>(std::string(5000, '[')), "malformed"));
        CPPUNIT_ASSERT_EQUAL(
            std::string("accepted"),
            decode_error<settings>("{ // a comment\n \"max_waiting\": 9 }"));
    }

    void records_round_trip()
    {
        CHECK_PROPERTY("a write request round-trips",
                       [](const std::string& value, std::uint64_t term)
                       {
                           RC_PRE(value.size() < std::size_t(max_value_bytes));
                           execute_request request{
                               .term_ = term,
                               .request_id_ = "id",
                               .operations_ = {{"put", "k", "v"}}};
                           auto back = decode<execute_request>(encode(request));
                           RC_ASSERT(back.has_value());
                           RC_ASSERT(back->term_ == term);
                           RC_ASSERT(back->operations_ == request.operations_);
                       });
    }

    void decoding_never_throws()
    {
        CHECK_PROPERTY(
            "arbitrary text is decoded or rejected",
            [](const std::string& text)
            {
                static_cast<void>(decode_text<team_settings>(text));
                static_cast<void>(decode_text<execute_request>(text, true));
                static_cast<void>(session_token::from_text(text, key));
            });
    }

    void token_round_trips()
    {
        CHECK_PROPERTY(
            "a token round-trips",
            [](const std::map<std::string, std::uint64_t>& positions)
            {
                RC_PRE(positions.size() <= session_token::max_services);
                session_token token;
                for (const auto& [service, at] : positions)
                    token.observe("s" + std::to_string(at),
                                  {.term_ = at, .index_ = at / 2});
                auto back = session_token::from_text(token.to_text(key), key);
                RC_ASSERT(back.has_value());
                RC_ASSERT(*back == token);
            });
    }

    void truncated_and_modified_tokens_are_rejected()
    {
        session_token token;
        token.observe("kowalchuk/orders", {.term_ = 3, .index_ = 77});
        std::string text = token.to_text(key);
        for (std::size_t size = 1; size < text.size(); ++size)
            CPPUNIT_ASSERT(!session_token::from_text(
                std::string_view(text).substr(0, size), key));
        for (std::size_t at = 0; at < text.size(); ++at)
        {
            std::string edited = text;
            edited[at] = edited[at] == 'A' ? 'B' : 'A';
            CPPUNIT_ASSERT(!session_token::from_text(edited, key));
        }
        CPPUNIT_ASSERT(!session_token::from_text(text, "another fleet's"));
        CPPUNIT_ASSERT(session_token::from_text(std::string(9000, 'a'), key)
                           .error()
                           .code_ == error_code::too_large);
    }

    void token_positions_never_decrease()
    {
        CHECK_PROPERTY("observe keeps the higher position",
                       [](std::uint64_t a, std::uint64_t b)
                       {
                           session_token token;
                           token.observe("s", {.term_ = 1, .index_ = a});
                           token.observe("s", {.term_ = 1, .index_ = b});
                           RC_ASSERT(token.position_at("s").index_ ==
                                     std::max(a, b));
                       });
    }

    static settings_branch branch(int team, std::uint64_t version)
    {
        return {
            .team_ = "team" + std::to_string(team),
            .version_ = version,
            .change_id_ = std::to_string(version),
            .plan_ = {.max_waiting_ = 1 + static_cast<std::int64_t>(version)}};
    }

    void merge_keeps_the_highest_version()
    {
        CHECK_PROPERTY(
            "the tree has the highest versions after any order of merges",
            []
            {
                auto changes = *rc::gen::container<
                    std::vector<std::pair<int, std::uint64_t>>>(
                    rc::gen::pair(rc::gen::inRange(0, 5),
                                  rc::gen::inRange<std::uint64_t>(1, 9)));
                settings_tree tree;
                std::map<int, std::uint64_t> highest;
                for (const auto& [team, version] : changes)
                {
                    bool newer = version > highest[team];
                    RC_ASSERT(tree.merge(branch(team, version)) == newer);
                    highest[team] = std::max(highest[team], version);
                    RC_ASSERT(*tree.find("team" + std::to_string(team)) ==
                              branch(team, highest[team]));
                }
            });
    }

    void exchanging_branches_makes_trees_equal()
    {
        CHECK_PROPERTY(
            "two trees are equal after exchanging differing branches",
            []
            {
                auto draw = []
                {
                    return *rc::gen::container<
                        std::vector<std::pair<int, std::uint64_t>>>(
                        rc::gen::pair(rc::gen::inRange(0, 40),
                                      rc::gen::inRange<std::uint64_t>(1, 9)));
                };
                settings_tree a;
                settings_tree b;
                for (const auto& [team, version] : draw())
                    a.merge(branch(team, version));
                for (const auto& [team, version] : draw())
                    b.merge(branch(team, version));
                auto from_a = a.branches_differing_from(b.digests());
                auto from_b = b.branches_differing_from(a.digests());
                for (const auto& one : from_a)
                    b.merge(one);
                for (const auto& one : from_b)
                    a.merge(one);
                RC_ASSERT(a.digests() == b.digests());
                RC_ASSERT(a.branches() == b.branches());
            });
    }

    void merge_adds_the_counts_of_histograms()
    {
        latency_histograms a;
        latency_histograms b;
        for (int i = 0; i < 100; ++i)
        {
            a.record("kowalchuk", "gate", 500);
            b.record("lineas_andinas", "crew", 90'000);
        }
        a.merge(b);
        CPPUNIT_ASSERT(a.quantile_us("kowalchuk", "gate", 0.99) >= 500);
        CPPUNIT_ASSERT(a.quantile_us("kowalchuk", "gate", 0.99) < 1000);
        CPPUNIT_ASSERT(a.quantile_us("lineas_andinas", "crew", 0.5) >= 90'000);
        CPPUNIT_ASSERT_EQUAL(std::int64_t{0}, a.quantile_us("x", "y", 0.5));
        std::ostringstream out;
        a.write_prometheus(out, "m");
        CPPUNIT_ASSERT(
            out.str().find("m_count{team=\"kowalchuk\",class=\"gate\"} 100") !=
            std::string::npos);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(state_test);

} // namespace
} // namespace tanagerspan
