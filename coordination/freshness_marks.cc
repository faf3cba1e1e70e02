#include "coordination/freshness_marks.h"

#include <algorithm>

namespace tanagerspan
{

void freshness_marks::add(instant asked, log_position at)
{
    while (!marks_.empty() && asked - marks_.front().asked_ > options_.keep_ms_)
        marks_.pop_front();
    // Answers may arrive out of order. A mark that was asked for before the
    // newest one is dropped; the next answer replaces it.
    if (!marks_.empty() && asked <= marks_.back().asked_)
        return;
    std::size_t count = marks_.size();
    bool crowded =
        count >= 2 && asked - marks_[count - 2].asked_ <= options_.min_gap_ms_;
    // The newest mark is replaced, not the one before it, so that the newest
    // mark is always that of the latest request.
    if (crowded)
        marks_.back() = {asked, at};
    else
        marks_.push_back({asked, at});
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
    for (std::size_t back = 1; back <= marks_.size(); back += step)
        out.push_back(marks_[marks_.size() - back]);
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
