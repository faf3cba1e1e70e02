#ifndef TANAGERSPAN_LOAD_LOAD_REPORT_H
#define TANAGERSPAN_LOAD_LOAD_REPORT_H

// Tells from the logs of all proxies where statements were late or refused.
//
// Each proxy logs the counts of every service at short intervals (event
// "load", see state/load_counts.h). The report sums them by window of time, by
// service and read consistency, and by proxy. A log line may be preceded by
// other text, as log collectors add it; lines without a load event are skipped.
//
//   load_report report({.window_ms_ = 2000});
//   report.add_line(line); // for all lines, in any order
//   report.write(std::cout);
//
// Times are those of the proxies' clocks. Not thread safe.

#include <cstdint>
#include <iosfwd>
#include <map>
#include <string>
#include <string_view>

#include <nlohmann/json.hpp>

#include "state/load_counts.h"

namespace tanagerspan
{

class load_report
{
public:
    struct options
    {
        std::int64_t window_ms_ = 2000;
    };

    explicit load_report(options opts) : options_(opts)
    {
    }

    /// Adds one line of a log. Returns not_found for a line without a load
    /// event, malformed for a load event that cannot be read.
    result<void> add_line(std::string_view line);

    /// Writes three tables: by window, by service and consistency, by proxy.
    void write(std::ostream& out) const;

    /// The same as lists of objects: "windows", "services", "proxies".
    nlohmann::json to_json() const;

private:
    using table = std::map<std::string, load_counts>;

    options options_;
    std::map<std::int64_t, table> by_window_; ///< by ms since the epoch
    table by_service_;
    table by_proxy_;
};

} // namespace tanagerspan

#endif
