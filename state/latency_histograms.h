#ifndef TANAGERSPAN_STATE_LATENCY_HISTOGRAMS_H
#define TANAGERSPAN_STATE_LATENCY_HISTOGRAMS_H

// Latencies by team and class, in one Boost.Histogram: two growing category
// axes and one logarithmic axis of microseconds. Histograms of several
// proxies add up. Thread safe.

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

    /// Adds another's counts to these.
    void merge(const latency_histograms& other);

    /// The upper edge, in microseconds, of the bin that holds quantile `q`
    /// (0 to 1) of a class; 0 when nothing was recorded.
    std::int64_t quantile_us(const std::string& team,
                             const std::string& work_class, double q) const;

    /// Prometheus text: a histogram named `name` with labels team and class.
    void write_prometheus(std::ostream& out, std::string_view name) const;

private:
    struct impl;
    std::unique_ptr<impl> impl_;
};

} // namespace tanagerspan

#endif
