#include "coordination/load_estimates.h"

namespace tanagerspan
{
namespace
{

// Weights of one observation in the moving means: a mean spans about as many
// observations as the inverse of its weight.
constexpr double work_weight = 0.02;
constexpr double share_weight = 0.02;
constexpr double pace_weight = 0.1;

// The pace is known after this many answers.
constexpr std::int64_t min_pace_answers = 8;

// Under load, answers arrive at far shorter intervals than this. A longer one
// is an interruption, as during a takeover, and says nothing about the pace.
constexpr std::int64_t max_serving_gap_ms = 300;

void update_mean(double& mean, double value, double weight)
{
    mean += (value - mean) * weight;
}

} // namespace

void route_load::on_answer(double took_ms, bool queued)
{
    double took = std::max(took_ms, 1.0); // the resolution of the clock
    if (queued && !only_queued_)
        return;
    bool first = work_ms_ <= 0 || (only_queued_ && !queued);
    only_queued_ = only_queued_ && queued;
    if (first)
        work_ms_ = took;
    else
        update_mean(work_ms_, took, work_weight);
}

void route_load::on_decided(bool granted)
{
    update_mean(served_share_, granted ? 1.0 : 0.0, share_weight);
}

void service_pace::on_answer(double work_ms, bool backlogged, instant now)
{
    std::int64_t interval = now - last_answer_;
    last_answer_ = now;
    if (!backlogged || interval > max_serving_gap_ms)
    {
        answers_ = 0;
        return;
    }
    ++answers_;
    // At first the mean is that of all answers of the backlog.
    double weight = std::max(pace_weight, 1.0 / static_cast<double>(answers_));
    update_mean(interval_ms_, static_cast<double>(interval), weight);
    update_mean(work_ms_, work_ms, weight);
}

std::optional<double> service_pace::ms_per_work_ms(instant now) const
{
    if (answers_ < min_pace_answers || now - last_answer_ > max_serving_gap_ms)
        return std::nullopt;
    return interval_ms_ / work_ms_;
}

} // namespace tanagerspan
