#include "coordination/freshness_marks.h"

#include <algorithm>

namespace tanagerspan
{

void freshness_marks::add(instant asked, log_position position)
{
    while (!marks_.empty() && asked - marks_.front().asked_ > options_.keep_ms_)
        marks_.pop_front();
    // Answers may arrive out of order. A mark that was asked for before the
    // newest one is dropped; the next answer replaces it.
    if (!marks_.empty() && asked <= marks_.back().asked_)
        return;
    std::size_t count = marks_.size();
    bool replace_newest =
        count >= 2 && asked - marks_[count - 2].asked_ <= options_.min_gap_ms_;
    // The newest mark is replaced, not the one before it, so that the newest
    // mark is always that of the latest request.
    if (replace_newest)
        marks_.back() = {asked, position};
    else
        marks_.push_back({asked, position});
}

std::optional<freshness_mark> freshness_marks::covering(instant since) const
{
    auto first = std::lower_bound(marks_.begin(), marks_.end(), since,
                                  [](const freshness_mark& one, instant at)
                                  {
                                      return one.asked_ < at;
                                  });
    if (first == marks_.end())
        return std::nullopt;
    return *first;
}

std::vector<freshness_mark> freshness_marks::sample(std::size_t most) const
{
    std::vector<freshness_mark> out;
    std::size_t step = marks_.size() / most + 1;
    // Counts from the newest mark, so that it is always included.
    for (std::size_t offset = 1; offset <= marks_.size(); offset += step)
        out.push_back(marks_[marks_.size() - offset]);
    std::reverse(out.begin(), out.end());
    return out;
}

std::optional<instant> freshness_marks::newest() const
{
    if (marks_.empty())
        return std::nullopt;
    return marks_.back().asked_;
}

} // namespace tanagerspan
