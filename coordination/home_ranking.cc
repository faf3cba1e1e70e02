#include "coordination/home_ranking.h"

#include <algorithm>

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

std::int64_t seat_share(std::int64_t limit, std::int64_t rank,
                        std::int64_t homes)
{
    if (homes <= 0 || rank < 0 || rank >= homes)
        return 0;
    return limit / homes + (rank < limit % homes ? 1 : 0);
}

} // namespace tanagerspan
