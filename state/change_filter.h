#ifndef TANAGERSPAN_STATE_CHANGE_FILTER_H
#define TANAGERSPAN_STATE_CHANGE_FILTER_H

// Passes on a value only when it changes. The first value always passes, also
// if it equals a default-constructed one: a receiver must not have to guess
// whether nothing happened yet or nothing was reported.
//
//   change_filter<primary_health> health;
//   if (health.passes(current)) report(current);
//
// Not thread safe.

#include <optional>
#include <utility>

namespace tanagerspan
{

template <class Value>
class change_filter
{
public:
    /// Whether `value` is the first one or differs from the last one.
    bool passes(const Value& value)
    {
        if (last_ && *last_ == value)
            return false;
        last_ = value;
        return true;
    }

private:
    std::optional<Value> last_{};
};

} // namespace tanagerspan

#endif
