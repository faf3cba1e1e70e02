#ifndef TANAGERSPAN_COORDINATION_RETRY_BUDGET_H
#define TANAGERSPAN_COORDINATION_RETRY_BUDGET_H

// Bounds the share of retries among the attempts of one service, so that
// retries do not overload a group that is already failing. Each first attempt
// adds a fraction of a retry to the balance, a retry takes one off, and the
// balance is capped. Not thread safe.

#include <algorithm>

namespace tanagerspan
{

/// The retry budget of one service; the balance starts at the cap.
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

    /// Takes one retry off the balance; false if less than one is left.
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
