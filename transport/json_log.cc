#include "transport/json_log.h"

#include <array>
#include <cstdio>
#include <ctime>
#include <mutex>
#include <utility>

#include <boost/log/core.hpp>
#include <boost/log/expressions.hpp>
#include <boost/log/sinks/sync_frontend.hpp>
#include <boost/log/sinks/text_ostream_backend.hpp>
#include <boost/log/sources/record_ostream.hpp>
#include <boost/log/sources/severity_logger.hpp>
#include <boost/log/utility/setup/console.hpp>

#include "transport/monotonic_clock.h"

namespace tanagerspan
{
namespace
{

std::string& process_name()
{
    static std::string name = "tanagerspan";
    return name;
}

std::string_view level_name(log_level level)
{
    switch (level)
    {
    case log_level::debug:
        return "debug";
    case log_level::info:
        return "info";
    case log_level::warning:
        return "warning";
    default:
        return "error";
    }
}

/// Limits the number of lines per second. Thread-safe.
class line_rate_limiter
{
public:
    /// Returns whether the line may be written. If so, `dropped` is set to the
    /// number of lines that were rejected since the last one that was written.
    bool allow(instant now, std::int64_t& dropped)
    {
        constexpr std::int64_t ms_per_s = 1000;
        std::lock_guard lock(mutex_);
        if (now - window_start_ >= ms_per_s)
        {
            window_start_ = now;
            written_ = 0;
        }
        if (written_ >= max_lines_per_s)
        {
            ++dropped_;
            return false;
        }
        ++written_;
        dropped = std::exchange(dropped_, 0);
        return true;
    }

private:
    std::mutex mutex_;
    instant window_start_ = never;
    std::int64_t written_ = 0;
    std::int64_t dropped_ = 0;
};

line_rate_limiter& rate_limiter()
{
    static line_rate_limiter limiter;
    return limiter;
}

std::ostream*& output_stream()
{
    static std::ostream* out = nullptr;
    return out;
}

/// Returns the time of day in UTC, for readers of the log; no decision uses it.
std::string time_of_day()
{
    timespec now{};
    clock_gettime(CLOCK_REALTIME, &now);
    std::tm parts{};
    gmtime_r(&now.tv_sec, &parts);
    constexpr long ns_per_us = 1000;
    std::array<char, 64> date{};
    std::array<char, 96> whole{};
    std::strftime(date.data(), date.size(), "%Y-%m-%dT%H:%M:%S", &parts);
    std::snprintf(whole.data(), whole.size(), "%s.%06ldZ", date.data(),
                  now.tv_nsec / ns_per_us);
    return whole.data();
}

} // namespace

void start_json_log(std::string process, log_level lowest, std::ostream& out)
{
    output_stream() = &out;
    process_name() = std::move(process);
    namespace expr = boost::log::expressions;
    boost::log::add_console_log(
        out, boost::log::keywords::format = expr::stream << expr::smessage,
        boost::log::keywords::auto_flush = true);
    boost::log::core::get()->set_filter(expr::attr<int>("Severity") >=
                                        static_cast<int>(lowest));
}

void log_line(log_level level, std::string_view event, nlohmann::json fields)
{
    std::int64_t dropped = 0;
    if (!rate_limiter().allow(monotonic_now(), dropped))
        return;
    if (dropped > 0)
        fields["lines_dropped_before"] = dropped;
    // Clears the error of a write that a slow reader made fail; otherwise the
    // stream would drop all later lines.
    if (output_stream() != nullptr && !*output_stream())
        output_stream()->clear();
    thread_local boost::log::sources::severity_logger<int> logger;
    BOOST_LOG_SEV(logger, static_cast<int>(level)) << [&]
    {
        nlohmann::ordered_json line;
        line["time"] = time_of_day();
        line["level"] = std::string(level_name(level));
        line["process"] = process_name();
        line["event"] = std::string(event);
        for (const auto& [key, value] : fields.items())
            line[key] = value;
        return line.dump(-1, ' ', false,
                         nlohmann::json::error_handler_t::replace);
    }();
}

} // namespace tanagerspan
