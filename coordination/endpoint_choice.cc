#include "coordination/endpoint_choice.h"

#include <algorithm>

namespace tanagerspan
{
namespace
{

// Writes and proofs of all proxies run at the primary: it counts as if this
// many more statements of ours ran there.
constexpr double primary_extra_running = 2.0;

// Before the first answer an endpoint is taken to be as fast as this: about
// the shortest work there is, so that a new one is tried.
constexpr double unknown_answer_ms = 10.0;

// Bytes between data centres have a price; an endpoint elsewhere must be
// expected to answer this much sooner.
constexpr double elsewhere_factor = 1.15;

double expected_ms(const endpoint_load& endpoint)
{
    double answer =
        endpoint.answer_ms_ > 0 ? endpoint.answer_ms_ : unknown_answer_ms;
    double running = static_cast<double>(endpoint.running_) + 1.0 +
                     (endpoint.primary_ ? primary_extra_running : 0.0);
    double slots =
        static_cast<double>(std::max<std::int64_t>(endpoint.slots_, 1));
    double expected = answer * running / slots;
    return endpoint.same_data_centre_ ? expected : expected * elsewhere_factor;
}

bool may_hold(const endpoint_load& endpoint,
              const std::optional<position_need>& need, instant now)
{
    return !need || endpoint.primary_ || endpoint.known_ >= need->at_ ||
           static_cast<double>(now - need->since_) >= endpoint.lag_ms_;
}

} // namespace

std::optional<std::size_t>
choose_primary(std::span<const endpoint_load> endpoints)
{
    for (std::size_t at = 0; at < endpoints.size(); ++at)
    {
        if (endpoints[at].primary_ && endpoints[at].has_room_)
            return at;
    }
    return std::nullopt;
}

std::optional<std::size_t>
choose_for_read(std::span<const endpoint_load> endpoints,
                const std::optional<position_need>& need,
                std::span<const std::size_t> excluded, instant now)
{
    bool all_leave = std::all_of(endpoints.begin(), endpoints.end(),
                                 [](const endpoint_load& one)
                                 {
                                     return one.leaving_;
                                 });
    for (bool allow_avoided : {false, true})
    {
        std::optional<std::size_t> best;
        for (std::size_t at = 0; at < endpoints.size(); ++at)
        {
            const endpoint_load& one = endpoints[at];
            bool usable = one.has_room_ && may_hold(one, need, now) &&
                          (all_leave || !one.leaving_) &&
                          (allow_avoided || one.avoided_until_ <= now) &&
                          std::find(excluded.begin(), excluded.end(), at) ==
                              excluded.end();
            if (usable &&
                (!best || expected_ms(one) < expected_ms(endpoints[*best])))
                best = at;
        }
        if (best)
            return best;
    }
    return std::nullopt;
}

} // namespace tanagerspan
