#ifndef TANAGERSPAN_STATE_LOAD_COUNTS_H
#define TANAGERSPAN_STATE_LOAD_COUNTS_H

// Counts of what the statements of a service met on one proxy: which were
// answered in time, which waited, which were refused and why.
//
// The counts are kept by read consistency, since that decides which endpoints
// can run a statement. The proxy that the caller is connected to counts the
// answers; the proxy that holds the connections to the endpoints counts the
// waiting, the refusals of waiting statements and where reads ran. Both are the
// same proxy unless the statement ran through a home.
//
//   load_counters counters;
//   ++counters.of(route.consistency_).in_time_;
//   for (const auto& [name, counts] : counters.end_window()) ... // to the log
//
// Not thread safe.

#include <cstdint>
#include <map>
#include <string>
#include <string_view>
#include <tuple>

#include "state/record.h"
#include "state/service_catalogue.h"

namespace tanagerspan
{

/// The counts of one service and read consistency.
struct load_counts
{
    /// Answered with success within the route's target latency.
    std::int64_t in_time_ = 0;
    std::int64_t late_ = 0; ///< answered with success, but later
    std::map<std::string, std::int64_t> errors_; ///< answers by error name
    std::int64_t granted_ = 0;       ///< statements that got a connection
    std::int64_t waited_ms_ = 0;     ///< total wait of the granted statements
    std::int64_t replica_reads_ = 0; ///< reads outside transactions
    std::int64_t primary_reads_ = 0;
    /// Statements refused while they waited, by reason. They were not sent.
    std::map<std::string, std::int64_t> refused_;

    void add(const load_counts& other);
};

inline auto fields_of(const load_counts*)
{
    return std::tuple{field{"in_time", &load_counts::in_time_},
                      field{"late", &load_counts::late_},
                      field{"errors", &load_counts::errors_},
                      field{"granted", &load_counts::granted_},
                      field{"waited_ms", &load_counts::waited_ms_},
                      field{"replica_reads", &load_counts::replica_reads_},
                      field{"primary_reads", &load_counts::primary_reads_},
                      field{"refused", &load_counts::refused_}};
}

/// By the name of the read consistency.
using load_by_consistency = std::map<std::string, load_counts, std::less<>>;

/// The counts of one service: since the start of the process, and since the
/// start of the current window.
class load_counters
{
public:
    load_counts& of(read_consistency consistency)
    {
        return window_[std::string(name_of(consistency))];
    }

    /// Returns the counts of the window and starts the next one.
    load_by_consistency end_window();

    /// The counts of the windows that have ended.
    const load_by_consistency& totals() const
    {
        return totals_;
    }

private:
    load_by_consistency window_;
    load_by_consistency totals_;
};

} // namespace tanagerspan

#endif
