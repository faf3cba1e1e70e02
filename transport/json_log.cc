#include "transport/json_log.h"

#include <iostream>

#include <Poco/DateTimeFormat.h>
#include <Poco/DateTimeFormatter.h>
#include <Poco/Timestamp.h>
#include <boost/log/core.hpp>
#include <boost/log/expressions.hpp>
#include <boost/log/sinks/sync_frontend.hpp>
#include <boost/log/sinks/text_ostream_backend.hpp>
#include <boost/log/sources/record_ostream.hpp>
#include <boost/log/sources/severity_logger.hpp>
#include <boost/log/utility/setup/console.hpp>

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

} // namespace

void start_json_log(std::string process, log_level lowest)
{
    process_name() = std::move(process);
    namespace expr = boost::log::expressions;
    boost::log::add_console_log(std::cerr,
                                boost::log::keywords::format =
                                    expr::stream << expr::smessage,
                                boost::log::keywords::auto_flush = true);
    boost::log::core::get()->set_filter(expr::attr<int>("Severity") >=
                                        static_cast<int>(lowest));
}

void log_line(log_level level, std::string_view event, nlohmann::json fields)
{
    thread_local boost::log::sources::severity_logger<int> logger;
    BOOST_LOG_SEV(logger, static_cast<int>(level)) << [&]
    {
        nlohmann::ordered_json line;
        line["time"] = Poco::DateTimeFormatter::format(
            Poco::Timestamp(), Poco::DateTimeFormat::ISO8601_FRAC_FORMAT);
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
