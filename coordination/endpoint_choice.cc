#include "coordination/endpoint_choice.h"

#include <algorithm>

namespace tanagerspan
{
namespace
{

// Writes and freshness checks of all proxies run at the primary: it counts as
// if this many more statements of this proxy ran there.
constexpr double primary_extra_load = 2.0;

// Response time assumed before the first answer: about that of the shortest
// statements, so that a new endpoint is tried.
constexpr double default_response_ms = 10.0;

// Traffic between data centres costs money: the expected response time of an
// endpoint in another data centre is multiplied by this.
constexpr double remote_penalty = 1.15;

double expected_ms(const endpoint_candidate& endpoint)
{
    double response = endpoint.mean_response_ms_ > 0
                          ? endpoint.mean_response_ms_
                          : default_response_ms;
    double running = static_cast<double>(endpoint.in_flight_) + 1.0 +
                     (endpoint.primary_ ? primary_extra_load : 0.0);
    double slots =
        static_cast<double>(std::max<std::int64_t>(endpoint.slots_, 1));
    double expected = response * running / slots;
    return endpoint.same_data_centre_ ? expected : expected * remote_penalty;
}

bool may_have_position(const endpoint_candidate& endpoint,
                       const std::optional<position_requirement>& need,
                       instant now)
{
    return !need || endpoint.primary_ ||
           endpoint.last_position_ >= need->position_ ||
           static_cast<double>(now - need->known_since_) >= endpoint.lag_ms_;
}

} // namespace

std::optional<std::size_t>
choose_primary(std::span<const endpoint_candidate> endpoints)
{
    for (std::size_t at = 0; at < endpoints.size(); ++at)
    {
        if (endpoints[at].primary_ && endpoints[at].connection_available_)
            return at;
    }
    return std::nullopt;
}

std::vector<std::size_t>
usable_for_read(std::span<const endpoint_candidate> endpoints,
                const std::optional<position_requirement>& need,
                std::span<const std::size_t> excluded, instant now)
{
    bool all_leave = std::all_of(endpoints.begin(), endpoints.end(),
                                 [](const endpoint_candidate& one)
                                 {
                                     return one.leaving_;
                                 });
    std::vector<std::size_t> out;
    for (std::size_t at = 0; at < endpoints.size(); ++at)
    {
        const endpoint_candidate& one = endpoints[at];
        if (may_have_position(one, need, now) && (all_leave || !one.leaving_) &&
            std::find(excluded.begin(), excluded.end(), at) == excluded.end())
            out.push_back(at);
    }
    return out;
}

std::optional<std::size_t>
choose_for_read(std::span<const endpoint_candidate> endpoints,
                const std::optional<position_requirement>& need,
                std::span<const std::size_t> excluded, instant now)
{
    auto usable = usable_for_read(endpoints, need, excluded, now);
    for (bool allow_avoided : {false, true})
    {
        std::optional<std::size_t> best;
        for (std::size_t at : usable)
        {
            const endpoint_candidate& one = endpoints[at];
            if (!one.connection_available_ ||
                (one.avoided_until_ > now && !allow_avoided))
                continue;
            if (!best || expected_ms(one) < expected_ms(endpoints[*best]))
                best = at;
        }
        if (best)
            return best;
    }
    return std::nullopt;
}

} // namespace tanagerspan
