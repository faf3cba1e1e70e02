#include "state/latency_histograms.h"

#include <mutex>
#include <ostream>
#include <vector>

#include <boost/histogram.hpp>

namespace tanagerspan
{
namespace
{

namespace bh = boost::histogram;

constexpr unsigned latency_bins = 60;
constexpr double lowest_us = 10.0;
constexpr double highest_us = 100'000'000.0;
constexpr double us_per_s = 1e6;

using names = bh::axis::category<std::string, bh::use_default,
                                 bh::axis::option::growth_t>;
using latencies = bh::axis::regular<double, bh::axis::transform::log>;

auto make_empty()
{
    const std::vector<std::string> no_names;
    return bh::make_histogram(
        names(no_names, "team"), names(no_names, "class"),
        latencies(latency_bins, lowest_us, highest_us, "us"));
}

} // namespace

struct latency_histograms::impl
{
    mutable std::mutex mutex_;
    decltype(make_empty()) counts_ = make_empty();
};

latency_histograms::latency_histograms() : impl_(std::make_unique<impl>())
{
}

latency_histograms::~latency_histograms() = default;

void latency_histograms::record(const std::string& team,
                                const std::string& work_class,
                                std::int64_t latency_us)
{
    std::lock_guard lock(impl_->mutex_);
    impl_->counts_(team, work_class, static_cast<double>(latency_us));
}

void latency_histograms::merge(const latency_histograms& other)
{
    std::scoped_lock lock(impl_->mutex_, other.impl_->mutex_);
    impl_->counts_ += other.impl_->counts_;
}

std::int64_t latency_histograms::quantile_us(const std::string& team,
                                             const std::string& work_class,
                                             double q) const
{
    std::lock_guard lock(impl_->mutex_);
    const auto& counts = impl_->counts_;
    const auto& teams = counts.axis(std::integral_constant<unsigned, 0>{});
    const auto& classes = counts.axis(std::integral_constant<unsigned, 1>{});
    const auto& bins = counts.axis(std::integral_constant<unsigned, 2>{});
    int team_index = teams.index(team);
    int class_index = classes.index(work_class);
    if (team_index >= teams.size() || class_index >= classes.size())
        return 0;
    double total = 0;
    for (int i = -1; i <= bins.size(); ++i)
        total += static_cast<double>(counts.at(team_index, class_index, i));
    if (total == 0)
        return 0;
    double cumulative = 0;
    for (int i = -1; i < bins.size(); ++i)
    {
        cumulative +=
            static_cast<double>(counts.at(team_index, class_index, i));
        if (cumulative >= q * total)
            return static_cast<std::int64_t>(bins.value(i + 1));
    }
    return static_cast<std::int64_t>(highest_us);
}

void latency_histograms::write_prometheus(std::ostream& out,
                                          std::string_view name) const
{
    std::lock_guard lock(impl_->mutex_);
    const auto& counts = impl_->counts_;
    const auto& teams = counts.axis(std::integral_constant<unsigned, 0>{});
    const auto& classes = counts.axis(std::integral_constant<unsigned, 1>{});
    const auto& bins = counts.axis(std::integral_constant<unsigned, 2>{});
    out << "# TYPE " << name << " histogram\n";
    for (int t = 0; t < teams.size(); ++t)
    {
        for (int c = 0; c < classes.size(); ++c)
        {
            std::string labels = "team=\"" + teams.value(t) + "\",class=\"" +
                                 classes.value(c) + "\"";
            double cumulative = 0;
            for (int i = -1; i < bins.size(); ++i)
            {
                cumulative += static_cast<double>(counts.at(t, c, i));
                out << name << "_bucket{" << labels << ",le=\""
                    << bins.value(i + 1) / us_per_s << "\"} " << cumulative
                    << "\n";
            }
            cumulative += static_cast<double>(counts.at(t, c, bins.size()));
            out << name << "_bucket{" << labels << ",le=\"+Inf\"} "
                << cumulative << "\n"
                << name << "_count{" << labels << "} " << cumulative << "\n";
        }
    }
}

} // namespace tanagerspan
