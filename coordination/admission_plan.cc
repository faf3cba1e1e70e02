#include "coordination/admission_plan.h"

#include <algorithm>
#include <cmath>

namespace tanagerspan
{
namespace
{

/// The planned work of one endpoint.
struct planned_endpoint
{
    double pace_ = 0; ///< ms for 1 ms of work
    double wait_ms_ = 0;
    std::vector<std::size_t> statements_{};
    bool overloaded_ = false;
};

class admission_plan
{
public:
    admission_plan(std::span<const waiting_statement> waiting,
                   std::span<const std::optional<double>> paces, instant now)
        : waiting_(waiting), now_(now)
    {
        for (const auto& pace : paces)
            endpoints_.push_back({.pace_ = pace.value_or(0)});
    }

    std::vector<refused_statement> refusals()
    {
        for (std::size_t i = 0; i < waiting_.size(); ++i)
        {
            planned_endpoint* endpoint = earliest(waiting_[i]);
            if (endpoint == nullptr)
                continue;
            if (waiting_[i].order_.latest_start_ < now_)
                plan_late(i, *endpoint);
            else
                plan_in_time(i, *endpoint);
        }
        return std::move(refused_);
    }

private:
    /// The endpoint at which the statement would start first; null if that is
    /// not known.
    planned_endpoint* earliest(const waiting_statement& statement)
    {
        planned_endpoint* best = nullptr;
        for (std::size_t index : statement.endpoints_)
        {
            planned_endpoint& one = endpoints_[index];
            if (one.pace_ <= 0)
                return nullptr;
            if (best == nullptr || one.wait_ms_ < best->wait_ms_)
                best = &one;
        }
        return best;
    }

    double time_of(std::size_t index, const planned_endpoint& at) const
    {
        return waiting_[index].work_ms_ * at.pace_;
    }

    void refuse(std::size_t index, double wait_ms, instant latest_start)
    {
        refused_.push_back({index,
                            static_cast<std::int64_t>(std::ceil(wait_ms)),
                            latest_start - now_});
    }

    void plan_late(std::size_t index, planned_endpoint& at)
    {
        instant deadline = waiting_[index].deadline_;
        bool no_gap = at.overloaded_ ||
                      at.wait_ms_ >= static_cast<double>(deadline - now_);
        if (no_gap)
            refuse(index, at.wait_ms_, waiting_[index].order_.latest_start_);
        else
            at.wait_ms_ += time_of(index, at);
    }

    void plan_in_time(std::size_t index, planned_endpoint& at)
    {
        at.statements_.push_back(index);
        instant latest_start = waiting_[index].order_.latest_start_;
        bool in_time = at.wait_ms_ <= static_cast<double>(latest_start - now_);
        double wait_ms = at.wait_ms_;
        at.wait_ms_ += time_of(index, at);
        if (in_time)
            return;
        at.overloaded_ = true;
        auto longest =
            std::max_element(at.statements_.begin(), at.statements_.end(),
                             [&](std::size_t one, std::size_t other)
                             {
                                 return rank(one, index) < rank(other, index);
                             });
        at.wait_ms_ -= time_of(*longest, at);
        refuse(*longest, wait_ms, latest_start);
        at.statements_.erase(longest);
    }

    /// The statement with the highest rank is refused when `late` would start
    /// too late: never one of a higher priority.
    double rank(std::size_t index, std::size_t late) const
    {
        const waiting_statement& one = waiting_[index];
        if (one.order_.priority_ != waiting_[late].order_.priority_)
            return -1;
        return one.work_ms_ * one.served_share_;
    }

    std::span<const waiting_statement> waiting_;
    instant now_;
    std::vector<planned_endpoint> endpoints_;
    std::vector<refused_statement> refused_;
};

} // namespace

std::vector<refused_statement>
plan_refusals(std::span<const waiting_statement> waiting,
              std::span<const std::optional<double>> paces, instant now)
{
    return admission_plan(waiting, paces, now).refusals();
}

} // namespace tanagerspan
