#ifndef TANAGERSPAN_STATE_LATENCY_HISTOGRAMS_H
#define TANAGERSPAN_STATE_LATENCY_HISTOGRAMS_H

// Latency histograms by team and class of work: one Boost.Histogram with two
// growing category axes and a logarithmic axis in microseconds. Histograms of
// several proxies can be merged. Thread-safe.

#include <cstdint>
#include <iosfwd>
#include <memory>
#include <string>
#include <string_view>

namespace tanagerspan
{

class latency_histograms
{
public:
    latency_histograms();
    ~latency_histograms();
    latency_histograms(const latency_histograms&) = delete;
    latency_histograms& operator=(const latency_histograms&) = delete;

    void record(const std::string& team, const std::string& work_class,
                std::int64_t latency_us);

    /// Adds the counts of `other`.
    void merge(const latency_histograms& other);

    /// Returns the upper edge, in microseconds, of the bin that contains
    /// quantile `q` (0 to 1) of a class; 0 if nothing was recorded.
    std::int64_t quantile_us(const std::string& team,
                             const std::string& work_class, double q) const;

    /// Writes a histogram `name` with the labels team and class in the
    /// Prometheus text format.
    void write_prometheus(std::ostream& out, std::string_view name) const;

private:
    struct impl;
    std::unique_ptr<impl> impl_;
};

} // namespace tanagerspan

#endif
