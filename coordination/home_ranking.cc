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

void home_table::set_live(std::span<const std::string> live)
{
    std::vector<std::string> gone;
    std::vector<std::string> come;
    std::set_difference(live_.begin(), live_.end(), live.begin(), live.end(),
                        std::back_inserter(gone));
    std::set_difference(live.begin(), live.end(), live_.begin(), live_.end(),
                        std::back_inserter(come));
    live_.assign(live.begin(), live.end());
    for (auto& [service, kept] : entries_)
    {
        auto is_home = [&homes = kept.homes_](const std::string& name)
        {
            return std::find(homes.begin(), homes.end(), name) != homes.end();
        };
        bool lost = std::any_of(gone.begin(), gone.end(), is_home);
        auto among = kept.homes_;
        among.insert(among.end(), come.begin(), come.end());
        // Without a loss the homes are the best of the old homes and the new.
        kept.homes_ = lost ? rank_homes(service, live_, kept.wanted_)
                           : rank_homes(service, among, kept.wanted_);
    }
}

const std::vector<std::string>& home_table::homes_of(const std::string& service,
                                                     std::size_t homes)
{
    auto& kept = entries_[service];
    if (kept.wanted_ != homes)
    {
        kept.wanted_ = homes;
        kept.homes_ = rank_homes(service, live_, homes);
    }
    kept.used_ = true;
    return kept.homes_;
}

void home_table::forget_unused()
{
    std::erase_if(entries_,
                  [](const auto& item)
                  {
                      return !item.second.used_;
                  });
    for (auto& [service, kept] : entries_)
        kept.used_ = false;
}

std::int64_t seat_share(std::int64_t limit, std::int64_t rank,
                        std::int64_t homes)
{
    if (homes <= 0 || rank < 0 || rank >= homes)
        return 0;
    return limit / homes + (rank < limit % homes ? 1 : 0);
}

} // namespace tanagerspan
