#include "coordination/departed_endpoints.h"

#include <algorithm>
#include <tuple>

namespace tanagerspan
{

bool departed_endpoints::is_listed(const endpoint_entry& previous) const
{
    return std::any_of(listed_.begin(), listed_.end(),
                       [&previous](const endpoint_entry& member)
                       {
                           bool same_id = member.id_ == previous.id_;
                           return same_id
                                      ? member.started_ms_ ==
                                            previous.started_ms_
                                      : member.address_ == previous.address_;
                       });
}

bool departed_endpoints::has_restarted(const endpoint_entry& previous) const
{
    auto is_later = [&previous](const endpoint_entry& other)
    {
        return other.id_ == previous.id_ &&
               other.started_ms_ > previous.started_ms_;
    };
    return std::any_of(listed_.begin(), listed_.end(), is_later) ||
           std::any_of(departed_.begin(), departed_.end(),
                       [&is_later](const departed& other)
                       {
                           return is_later(other.entry_);
                       });
}

std::string departed_endpoints::attempt_id(const endpoint_entry& previous) const
{
    if (!has_restarted(previous))
        return previous.id_;
    return previous.id_ + "@" + std::to_string(previous.started_ms_);
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
        bool is_known = std::any_of(departed_.begin(), departed_.end(),
                                    [&member](const departed& other)
                                    {
                                        return other.entry_.id_ == member.id_ &&
                                               other.entry_.started_ms_ ==
                                                   member.started_ms_;
                                    });
        if (!is_listed(entry) && !is_known)
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
                  return std::tie(left.id_, left.started_ms_) <
                         std::tie(right.id_, right.started_ms_);
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
        out.push_back({.id_ = attempt_id(member.entry_),
                       .leaving_ = true,
                       .listed_ = false,
                       .received_bound_ = member.received_bound_});
    return out;
}

const endpoint_entry* departed_endpoints::find(const std::string& id) const
{
    for (const auto& member : departed_)
    {
        if (member.entry_.id_ == id && !has_restarted(member.entry_))
            return &member.entry_;
    }
    return nullptr;
}

} // namespace tanagerspan
