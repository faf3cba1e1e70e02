#ifndef TANAGERSPAN_TESTING_SCENARIO_H
#define TANAGERSPAN_TESTING_SCENARIO_H

// Seeded simulation: callers that switch between proxies, any number of named
// failures, and a check of the whole history of all callers.
//
// Each write adds 1 once to a key that no other write uses, so the final value
// of the key shows the effect: 1 if the write was acknowledged; 0 or 1 if its
// outcome was unknown; 0 if it was refused as not run; more than 1 if it was
// applied more than once.

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

#include <nlohmann/json.hpp>

#include "testing/fake_group.h"

namespace tanagerspan
{

struct scenario_options
{
    std::uint64_t seed_ = 1;
    std::vector<std::string> failures_{}; ///< see `failure_names`
    std::string size_ = "kowalchuk";      ///< or lineas_andinas
    guard disabled_ = guard::none;
    std::size_t proxies_ = 3;
    std::size_t callers_ = 8;
    std::int64_t lag_ms_ = 50;
    std::int64_t length_ms_ = 14'000;
};

struct scenario_result
{
    std::int64_t written_ = 0;
    std::int64_t unknown_ = 0;
    std::int64_t not_run_ = 0;
    std::int64_t lost_ = 0;
    std::int64_t doubled_ = 0;
    std::int64_t stale_ = 0;
    std::int64_t mixed_ = 0;
    std::int64_t false_refusal_ = 0;
    std::int64_t ack_by_replaced_ = 0;
    std::int64_t leaving_served_ = 0; ///< still primary after 5 s
    std::int64_t reads_ = 0;
    std::int64_t replica_reads_ = 0;
    std::int64_t replica_allowed_ = 0;
    std::int64_t promotions_ = 0; ///< after the first one
    std::int64_t failover_gap_ms_ = 0;
    std::vector<std::string> trace_;

    bool guarantees_hold() const
    {
        return lost_ + doubled_ + stale_ + mixed_ + false_refusal_ +
                   ack_by_replaced_ ==
               0;
    }
    double replica_share() const
    {
        return replica_allowed_ == 0
                   ? 1.0
                   : static_cast<double>(replica_reads_) /
                         static_cast<double>(replica_allowed_);
    }
    nlohmann::json measures() const;
};

/// The names of all failures, each with a description.
const std::vector<std::pair<std::string, std::string>>& failure_names();

/// Runs one scenario. Unknown failure names are ignored; the caller checks them
/// against `failure_names`.
scenario_result run_scenario(const scenario_options& opts);

} // namespace tanagerspan

#endif
