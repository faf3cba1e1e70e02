// Tests of the report on load from the logs of proxies.

#include <sstream>

#include "load/load_report.h"
#include "testing/check.h"

namespace tanagerspan
{
namespace
{

std::string line(const std::string& second, const std::string& process,
                 const load_counts& counts)
{
    nlohmann::json out{{"time", "2026-12-04T10:00:" + second + ".500000Z"},
                       {"event", "load"},
                       {"process", process},
                       {"service", "orders"},
                       {"consistency", "primary"},
                       {"counts", encode(counts)}};
    return "collector text " + out.dump();
}

class load_report_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(load_report_test);
    CPPUNIT_TEST(counts_of_proxies_are_added_by_window);
    CPPUNIT_TEST(other_lines_are_told_apart);
    CPPUNIT_TEST(counters_keep_totals_of_ended_windows);
    CPPUNIT_TEST_SUITE_END();

    void counts_of_proxies_are_added_by_window()
    {
        load_report report({.window_ms_ = 2000});
        load_counts counts{.in_time_ = 3,
                           .late_ = 1,
                           .errors_ = {{"busy", 2}},
                           .refused_ = {{"expected_wait", 2}}};
        CPPUNIT_ASSERT(report.add_line(line("02", "a", counts)));
        CPPUNIT_ASSERT(report.add_line(line("03", "b", counts)));
        CPPUNIT_ASSERT(report.add_line(line("04", "a", counts)));
        nlohmann::json out = report.to_json();
        CPPUNIT_ASSERT_EQUAL(std::size_t(2), out["windows"].size());
        const auto& first = out["windows"][0]["services"][0];
        CPPUNIT_ASSERT_EQUAL(std::string("orders primary"),
                             first["of"].get<std::string>());
        CPPUNIT_ASSERT_EQUAL(6, first["counts"]["in_time"].get<int>());
        CPPUNIT_ASSERT_EQUAL(4, first["counts"]["errors"]["busy"].get<int>());
        CPPUNIT_ASSERT_EQUAL(std::size_t(2), out["proxies"].size());
        CPPUNIT_ASSERT_EQUAL(
            9, out["services"][0]["counts"]["in_time"].get<int>());
        std::ostringstream text;
        report.write(text);
        CPPUNIT_ASSERT(text.str().find("expected_wait=6; busy=6") !=
                       std::string::npos);
    }

    void other_lines_are_told_apart()
    {
        load_report report({});
        auto code = [&](std::string_view text)
        {
            auto got = report.add_line(text);
            return got ? "read" : std::string(name_of(got.error().code_));
        };
        CPPUNIT_ASSERT_EQUAL(std::string("not_found"), code(""));
        CPPUNIT_ASSERT_EQUAL(std::string("not_found"),
                             code(R"({"event":"started"})"));
        CPPUNIT_ASSERT_EQUAL(std::string("malformed"),
                             code(R"({"event":"load")"));
        CPPUNIT_ASSERT_EQUAL(std::string("malformed"),
                             code(R"({"event":"load","service":1})"));
        std::ostringstream text;
        report.write(text);
        CPPUNIT_ASSERT_EQUAL(std::string("no load events\n"), text.str());
    }

    void counters_keep_totals_of_ended_windows()
    {
        load_counters counters;
        for (int window = 0; window < 3; ++window)
        {
            ++counters.of(read_consistency::primary).in_time_;
            ++counters.of(read_consistency::primary).errors_["busy"];
            CPPUNIT_ASSERT_EQUAL(std::size_t(1), counters.end_window().size());
        }
        CPPUNIT_ASSERT(counters.end_window().empty());
        const load_counts& total = counters.totals().at("primary");
        CPPUNIT_ASSERT_EQUAL(std::int64_t(3), total.in_time_);
        CPPUNIT_ASSERT_EQUAL(std::int64_t(3), total.errors_.at("busy"));
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(load_report_test);

} // namespace
} // namespace tanagerspan
