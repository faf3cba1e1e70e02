#include "coordination/settings_propagation.h"

#include <algorithm>
#include <iterator>

namespace tanagerspan
{

settings_propagation::settings_propagation(options opts, instant now)
    : options_(opts), random_(opts.seed_), next_read_(now)
{
}

bool settings_propagation::should_read(std::size_t live_proxies, instant now)
{
    if (now < next_read_)
        return false;
    constexpr double ms_per_s = 1000.0;
    double mean_ms = ms_per_s * static_cast<double>(live_proxies) /
                     options_.fleet_reads_per_s_;
    auto interval = std::max(options_.min_read_interval_ms_,
                             static_cast<std::int64_t>(mean_ms));
    // Between half and one and a half times the mean, so that proxies that
    // started together do not keep reading at the same time.
    auto jitter = static_cast<std::int64_t>(
        random_() % static_cast<std::uint64_t>(interval));
    next_read_ = now + interval / 2 + jitter;
    return true;
}

void settings_propagation::merge(const std::vector<settings_branch>& branches)
{
    for (const auto& branch : branches)
    {
        if (!tree_.merge(branch))
            continue;
        changed_ = true;
        to_forward_.push_back(branch);
    }
}

void settings_propagation::on_table_read(
    const std::vector<settings_branch>& changed, instant now)
{
    last_heard_ = now;
    merge(changed);
}

void settings_propagation::on_branches(
    const std::vector<settings_branch>& branches, instant now)
{
    last_heard_ = now;
    merge(branches);
}

settings_propagation::push
settings_propagation::take_push(const std::vector<std::string>& live)
{
    push out;
    if (to_forward_.empty() || live.empty())
        return out;
    std::sample(live.begin(), live.end(), std::back_inserter(out.peers_),
                options_.fanout_, random_);
    while (!to_forward_.empty() &&
           out.branches_.size() < options_.max_branches_)
    {
        out.branches_.push_back(std::move(to_forward_.front()));
        to_forward_.pop_front();
    }
    return out;
}

std::vector<settings_branch> settings_propagation::branches_to_send(
    const settings_tree::digest& theirs) const
{
    auto out = tree_.branches_differing_from(theirs);
    if (out.size() <= options_.max_branches_)
        return out;
    // A random part, so that repeated exchanges cover all branches.
    std::vector<settings_branch> part;
    std::mt19937_64 random(random_);
    std::sample(out.begin(), out.end(), std::back_inserter(part),
                options_.max_branches_, random);
    return part;
}

} // namespace tanagerspan
