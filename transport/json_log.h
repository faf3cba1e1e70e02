#ifndef TANAGERSPAN_TRANSPORT_JSON_LOG_H
#define TANAGERSPAN_TRANSPORT_JSON_LOG_H

// Structured logs: one JSON object a line, by Boost.Log.
//
//   start_json_log("proxy-1", log_level::info);
//   log_line(log_level::info, "promotion", {{"term", 4}});
//
// The volume is bounded: beyond `max_lines_per_s` lines are counted instead of
// written, and the count stands in a line of its own. Writing never waits for
// the reader where the stream's descriptor does not block.
//
// Thread safe after `start_json_log`.

#include <cstdint>
#include <iostream>
#include <string>
#include <string_view>

#include <nlohmann/json.hpp>

namespace tanagerspan
{

/// Several times what a proxy at its usual load writes when an endpoint dies.
constexpr std::int64_t max_lines_per_s = 300;

enum class log_level
{
    debug,
    info,
    warning,
    error
};

/// Lines go to `out`, which outlives the process's threads.
void start_json_log(std::string process, log_level lowest,
                    std::ostream& out = std::cerr);

/// Writes one line with the time, level, process and event, then `fields`.
void log_line(log_level level, std::string_view event,
              nlohmann::json fields = nlohmann::json::object());

} // namespace tanagerspan

#endif
