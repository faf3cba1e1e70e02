#ifndef TANAGERSPAN_COORDINATION_RETRY_BUDGET_H
#define TANAGERSPAN_COORDINATION_RETRY_BUDGET_H

// Bounds the share of retries in the attempts of one service, so that a
// struggling group is not buried under repeats. First attempts earn a
// fraction of a retry; retries spend a whole one; the saved amount is capped.
// Not thread safe.

#include <algorithm>

namespace tanagerspan
{

class retry_budget
{
public:
    struct options
    {
        double earned_per_attempt_ = 0.2;
        double cap_ = 50.0;
    };

    explicit retry_budget(options opts) : options_(opts), balance_(opts.cap_)
    {
    }

    void on_first_attempt()
    {
        balance_ =
            std::min(options_.cap_, balance_ + options_.earned_per_attempt_);
    }

    /// True, and one retry spent, if the budget has one.
    bool try_spend()
    {
        if (balance_ < 1.0)
            return false;
        balance_ -= 1.0;
        return true;
    }

private:
    options options_;
    double balance_;
};

} // namespace tanagerspan

#endif
