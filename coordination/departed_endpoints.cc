#include "coordination/departed_endpoints.h"

#include <algorithm>

namespace tanagerspan
{

void departed_endpoints::update(std::span<const endpoint_entry> listed,
                                instant now)
{
    auto is_listed = [listed](const endpoint_entry& previous)
    {
        return std::any_of(listed.begin(), listed.end(),
                           [&previous](const endpoint_entry& member)
                           {
                               return member.id_ == previous.id_ ||
                                      member.address_ == previous.address_;
                           });
    };
    for (const auto& previous : listed_)
    {
        if (!is_listed(previous))
            departed_.push_back({.entry_ = previous, .departed_at_ = now});
    }
    std::erase_if(departed_,
                  [&](const departed& member)
                  {
                      return is_listed(member.entry_);
                  });
    if (departed_.size() > options_.max_entries_)
        departed_.erase(departed_.begin());
    listed_.assign(listed.begin(), listed.end());
}

void departed_endpoints::bound_logs(std::span<const freshness_mark> marks)
{
    for (auto& member : departed_)
    {
        auto mark_after =
            std::find_if(marks.begin(), marks.end(),
                         [&](const freshness_mark& mark)
                         {
                             return mark.asked_ >
                                    member.departed_at_ + options_.confirms_ms_;
                         });
        if (!member.received_bound_ && mark_after != marks.end())
            member.received_bound_ = mark_after->position_;
    }
}

std::vector<takeover_member> departed_endpoints::members() const
{
    std::vector<takeover_member> out;
    for (const auto& member : departed_)
        out.push_back({.id_ = member.entry_.id_,
                       .leaving_ = true,
                       .listed_ = false,
                       .received_bound_ = member.received_bound_});
    return out;
}

const endpoint_entry* departed_endpoints::find(const std::string& id) const
{
    for (const auto& member : departed_)
    {
        if (member.entry_.id_ == id)
            return &member.entry_;
    }
    return nullptr;
}

} // namespace tanagerspan
