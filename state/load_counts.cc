#include "state/load_counts.h"

#include <utility>

namespace tanagerspan
{
namespace
{

void add_all(std::map<std::string, std::int64_t>& to,
             const std::map<std::string, std::int64_t>& from)
{
    for (const auto& [name, count] : from)
        to[name] += count;
}

} // namespace

void load_counts::add(const load_counts& other)
{
    in_time_ += other.in_time_;
    late_ += other.late_;
    add_all(errors_, other.errors_);
    granted_ += other.granted_;
    waited_ms_ += other.waited_ms_;
    replica_reads_ += other.replica_reads_;
    primary_reads_ += other.primary_reads_;
    add_all(refused_, other.refused_);
}

load_by_consistency load_counters::end_window()
{
    for (const auto& [name, counts] : window_)
        totals_[name].add(counts);
    return std::exchange(window_, {});
}

} // namespace tanagerspan
