#include "coordination/group_view.h"

#include <algorithm>

namespace tanagerspan
{

std::optional<std::size_t> group_view::primary() const
{
    std::optional<std::size_t> best;
    for (std::size_t i = 0; i < members_.size(); ++i)
    {
        const auto& status = members_[i].status_;
        if (!status.leading_)
            continue;
        if (!best || members_[*best].status_.promised_ < status.promised_)
            best = i;
    }
    return best;
}

std::uint64_t group_view::highest_promised() const
{
    std::uint64_t highest = 0;
    for (const auto& member : members_)
        highest = std::max(highest, member.status_.promised_);
    return highest;
}

std::optional<std::size_t> group_view::find(std::string_view member) const
{
    for (std::size_t i = 0; i < members_.size(); ++i)
    {
        if (members_[i].name_ == member)
            return i;
    }
    return std::nullopt;
}

bool is_confirmed(const group_view& view, log_position position,
                  std::size_t reported_by)
{
    std::size_t holders = 0;
    for (std::size_t i = 0; i < view.members_.size(); ++i)
    {
        const auto& status = view.members_[i].status_;
        bool was_primary =
            status.leading_ && status.promised_ == position.term_;
        bool holds = status.position_.term_ == position.term_ &&
                     status.position_.index_ >= position.index_ &&
                     status.promised_ == position.term_;
        if (i == reported_by || was_primary || holds)
            ++holders;
    }
    return holders >= view.majority();
}

instant current_since(const group_view& view, std::uint64_t term)
{
    std::optional<instant> primary_asked;
    std::vector<instant> asked;
    for (const auto& member : view.members_)
    {
        if (member.status_.promised_ != term)
            continue;
        asked.push_back(member.asked_);
        if (member.status_.leading_)
            primary_asked = member.asked_;
    }
    if (!primary_asked || asked.size() < view.majority())
        return never;
    std::sort(asked.begin(), asked.end(), std::greater<>());
    return std::min(*primary_asked, asked[view.majority() - 1]);
}

std::optional<std::int64_t> age_bound_ms(const group_view& view,
                                         log_position position, instant now)
{
    for (auto mark = view.marks_.rbegin(); mark != view.marks_.rend(); ++mark)
    {
        if (mark->position_ <= position)
            return now - mark->at_;
    }
    return std::nullopt;
}

} // namespace tanagerspan
