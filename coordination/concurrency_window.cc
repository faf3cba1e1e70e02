#include "coordination/concurrency_window.h"

namespace tanagerspan
{

void concurrency_window::on_answer(double took_ms, std::int64_t running)
{
    double took = std::max(took_ms, 1.0); // the resolution of the clock
    mean_ms_ = mean_ms_ <= 0 ? took
                             : mean_ms_ * (1 - options_.mean_weight_) +
                                   took * options_.mean_weight_;
    baseline_ms_ =
        baseline_ms_ <= 0
            ? mean_ms_
            : std::min(baseline_ms_ * options_.baseline_growth_, mean_ms_);
    bool queued = mean_ms_ > baseline_ms_ * options_.queued_factor_;
    if (queued)
    {
        window_ = std::max(options_.min_, window_ - options_.decrease_);
        return;
    }
    // Only a fully used window shows whether the endpoint could take more, so
    // only then is the window enlarged.
    bool used = static_cast<double>(running) + 1.0 > window_;
    if (used)
        window_ = std::min(options_.max_, window_ + options_.increase_);
}

void concurrency_window::on_refused()
{
    window_ = std::max(options_.min_, window_ * options_.refused_factor_);
}

} // namespace tanagerspan
