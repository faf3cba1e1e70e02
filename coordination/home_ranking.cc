#include "coordination/home_ranking.h"

#include <algorithm>
#include <iterator>

#include <xxhash.h>

namespace tanagerspan
{

std::vector<std::string> rank_homes(std::string_view service,
                                    std::span<const std::string> proxies,
                                    std::size_t homes)
{
    struct scored
    {
        std::uint64_t score_;
        const std::string* name_;
    };
    std::uint64_t seed = XXH3_64bits(service.data(), service.size());
    std::vector<scored> all;
    all.reserve(proxies.size());
    for (const auto& name : proxies)
        all.push_back(
            {XXH3_64bits_withSeed(name.data(), name.size(), seed), &name});
    auto count = std::min(homes, all.size());
    std::partial_sort(all.begin(),
                      all.begin() + static_cast<std::ptrdiff_t>(count),
                      all.end(),
                      [](const scored& a, const scored& b)
                      {
                          if (a.score_ != b.score_)
                              return a.score_ > b.score_;
                          return *a.name_ < *b.name_;
                      });
    std::vector<std::string> out;
    for (std::size_t i = 0; i < count; ++i)
        out.push_back(*all[i].name_);
    return out;
}

void ranking_cache::set_live(std::span<const std::string> live)
{
    std::vector<std::string> removed;
    std::vector<std::string> added;
    std::set_difference(live_.begin(), live_.end(), live.begin(), live.end(),
                        std::back_inserter(removed));
    std::set_difference(live.begin(), live.end(), live_.begin(), live_.end(),
                        std::back_inserter(added));
    live_.assign(live.begin(), live.end());
    for (auto& [service, entry] : entries_)
    {
        auto is_home = [&homes = entry.homes_](const std::string& name)
        {
            return std::find(homes.begin(), homes.end(), name) != homes.end();
        };
        bool home_removed =
            std::any_of(removed.begin(), removed.end(), is_home);
        auto candidates = entry.homes_;
        candidates.insert(candidates.end(), added.begin(), added.end());
        // If no home was removed, the new homes are the highest ranked among
        // the old homes and the added proxies.
        entry.homes_ = home_removed
                           ? rank_homes(service, live_, entry.max_homes_)
                           : rank_homes(service, candidates, entry.max_homes_);
    }
}

const std::vector<std::string>&
ranking_cache::homes_of(const std::string& service, std::size_t homes)
{
    auto& entry = entries_[service];
    if (entry.max_homes_ != homes)
    {
        entry.max_homes_ = homes;
        entry.homes_ = rank_homes(service, live_, homes);
    }
    entry.used_ = true;
    return entry.homes_;
}

void ranking_cache::forget_unused()
{
    std::erase_if(entries_,
                  [](const auto& item)
                  {
                      return !item.second.used_;
                  });
    for (auto& [service, entry] : entries_)
        entry.used_ = false;
}

std::int64_t seat_share(std::int64_t limit, std::int64_t rank,
                        std::int64_t homes)
{
    if (homes <= 0 || rank < 0 || rank >= homes)
        return 0;
    return limit / homes + (rank < limit % homes ? 1 : 0);
}

} // namespace tanagerspan
