#include "coordination/departed_endpoints.h"

#include <algorithm>

namespace tanagerspan
{

bool departed_endpoints::is_listed(const endpoint_entry& previous) const
{
    return std::any_of(listed_.begin(), listed_.end(),
                       [&previous](const endpoint_entry& member)
                       {
                           return member.id_ == previous.id_ ||
                                  member.address_ == previous.address_;
                       });
}

void departed_endpoints::limit_entries()
{
    while (departed_.size() > options_.max_entries_)
        departed_.erase(departed_.begin());
}

void departed_endpoints::update(std::span<const endpoint_entry> listed,
                                instant now)
{
    std::vector<endpoint_entry> before(listed.begin(), listed.end());
    before.swap(listed_);
    for (const auto& previous : before)
    {
        if (!is_listed(previous))
            departed_.push_back({.entry_ = previous, .departed_at_ = now});
    }
    std::erase_if(departed_,
                  [this](const departed& member)
                  {
                      return is_listed(member.entry_);
                  });
    limit_entries();
}

void departed_endpoints::merge(const member_record& stored, instant now)
{
    bound_ = std::max(bound_, stored.bound_);
    for (const auto& member : stored.endpoints_)
    {
        endpoint_entry entry{.id_ = member.id_,
                             .service_ = options_.service_,
                             .address_ = member.address_,
                             .started_ms_ = member.started_ms_};
        if (!is_listed(entry) && find(entry.id_) == nullptr)
            departed_.push_back({.entry_ = entry, .departed_at_ = now});
    }
    limit_entries();
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
        if (member.received_bound_ || mark_after == marks.end())
            continue;
        member.received_bound_ = mark_after->position_;
        bound_ = std::max(bound_, mark_after->position_);
    }
}

member_record departed_endpoints::record() const
{
    member_record out{.bound_ = bound_};
    auto add = [&out](const endpoint_entry& entry)
    {
        out.endpoints_.push_back({.id_ = entry.id_,
                                  .address_ = entry.address_,
                                  .started_ms_ = entry.started_ms_});
    };
    for (const auto& entry : listed_)
        add(entry);
    for (const auto& member : departed_)
    {
        if (!member.received_bound_)
            add(member.entry_);
    }
    std::sort(out.endpoints_.begin(), out.endpoints_.end(),
              [](const recorded_endpoint& left, const recorded_endpoint& right)
              {
                  return left.id_ < right.id_;
              });
    return out;
}

instant departed_endpoints::next_mark_at() const
{
    instant first = never;
    for (const auto& member : departed_)
    {
        instant at = member.departed_at_ + options_.confirms_ms_ + 1;
        if (!member.received_bound_ && (first == never || at < first))
            first = at;
    }
    return first;
}

bool departed_endpoints::needs_mark(instant now) const
{
    instant first = next_mark_at();
    return first != never && first <= now;
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
