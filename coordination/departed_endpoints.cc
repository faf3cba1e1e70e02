#include "coordination/departed_endpoints.h"

#include <algorithm>

namespace tanagerspan
{

void departed_endpoints::update(std::span<const endpoint_entry> listed,
                                instant now)
{
    auto stands = [listed](const endpoint_entry& before)
    {
        return std::any_of(listed.begin(), listed.end(),
                           [&before](const endpoint_entry& one)
                           {
                               return one.id_ == before.id_ ||
                                      one.address_ == before.address_;
                           });
    };
    for (const auto& before : listed_)
    {
        if (!stands(before))
            departed_.push_back({.entry_ = before, .since_ = now});
    }
    std::erase_if(departed_,
                  [&](const departed& one)
                  {
                      return stands(one.entry_);
                  });
    if (departed_.size() > options_.most_)
        departed_.erase(departed_.begin());
    listed_.assign(listed.begin(), listed.end());
}

void departed_endpoints::bound_logs(std::span<const freshness_mark> marks)
{
    for (auto& one : departed_)
    {
        auto after = std::find_if(marks.begin(), marks.end(),
                                  [&](const freshness_mark& mark)
                                  {
                                      return mark.asked_ >
                                             one.since_ + options_.dead_ms_;
                                  });
        if (!one.covered_ && after != marks.end())
            one.covered_ = after->at_;
    }
}

std::vector<takeover_member> departed_endpoints::members() const
{
    std::vector<takeover_member> out;
    for (const auto& one : departed_)
        out.push_back({.id_ = one.entry_.id_,
                       .leaving_ = true,
                       .listed_ = false,
                       .covered_ = one.covered_});
    return out;
}

const endpoint_entry* departed_endpoints::find(const std::string& id) const
{
    for (const auto& one : departed_)
    {
        if (one.entry_.id_ == id)
            return &one.entry_;
    }
    return nullptr;
}

} // namespace tanagerspan
