#ifndef TANAGERSPAN_TRANSPORT_JSON_LOG_H
#define TANAGERSPAN_TRANSPORT_JSON_LOG_H

// Structured logging through Boost.Log, with one JSON object per line.
//
//   start_json_log("proxy-1", log_level::info);
//   log_line(log_level::info, "promotion", {{"term", 4}});
//
// The rate is limited: lines beyond `max_lines_per_s` are dropped, and the next
// line that is written has their number in the field lines_dropped_before. If
// the stream's descriptor is non-blocking, logging never waits for the reader.
//
// Thread-safe after `start_json_log`.

#include <cstdint>
#include <iostream>
#include <string>
#include <string_view>

#include <nlohmann/json.hpp>

namespace tanagerspan
{

/// The limit of log lines per second: several times the rate that a proxy under
/// usual load writes when an endpoint fails.
constexpr std::int64_t max_lines_per_s = 300;

enum class log_level
{
    debug,
    info,
    warning,
    error
};

/// Configures logging: the process name in each line, the lowest level that is
/// written, and the stream, which must outlive all threads that log.
void start_json_log(std::string process, log_level lowest,
                    std::ostream& out = std::cerr);

/// Writes one line with time, level, process and event, followed by `fields`.
void log_line(log_level level, std::string_view event,
              nlohmann::json fields = nlohmann::json::object());

} // namespace tanagerspan

#endif
