#ifndef TANAGERSPAN_COORDINATION_ENDPOINT_CHOICE_H
#define TANAGERSPAN_COORDINATION_ENDPOINT_CHOICE_H

// Chooses the endpoint of a service that gets the next statement.
//
// Statements that need the primary go to the primary. A read goes to the
// endpoint with the shortest expected response time: its recent mean response
// time, times the statements that this proxy has in flight there, divided by
// its slots. The primary counts as busier than this proxy can see, because the
// writes of all proxies run there.
//
// Rules for reads:
//  * Endpoints that failed recently are used only when no other endpoint is
//    available. If all of them failed they are still used: a wrong suspicion
//    must not refuse work.
//  * A leaving endpoint gets no read unless all endpoints are leaving.
//  * A replica that probably lacks the position that the read requires is
//    skipped.
//
// Pure functions: no clock, no I/O.

#include <cstdint>
#include <optional>
#include <span>
#include <vector>

#include "state/instant.h"
#include "state/log_position.h"

namespace tanagerspan
{

/// What this proxy knows about an endpoint when it chooses.
struct endpoint_candidate
{
    bool primary_ = false;
    bool leaving_ = false;
    bool same_data_centre_ = false;
    /// A connection is idle or can be opened.
    bool connection_available_ = false;
    std::int64_t in_flight_ = 0; ///< statements of this proxy in flight
    std::int64_t slots_ = 1;
    double mean_response_ms_ = 0;   ///< of recent answers; 0 if unknown
    instant avoided_until_ = never; ///< set after a failure
    double lag_ms_ = 0;             ///< estimated replication lag
    log_position last_position_;    ///< log position in its last answer
};

/// The log position that a read must include, and since when this proxy knows
/// the position.
struct position_requirement
{
    log_position position_;
    instant known_since_;
};

/// The index of a primary with a connection available; nullopt if there is
/// none.
std::optional<std::size_t>
choose_primary(std::span<const endpoint_candidate> endpoints);

/// The indexes of the endpoints that may run a read, whether or not a
/// connection is available now. `excluded` holds indexes.
std::vector<std::size_t>
usable_for_read(std::span<const endpoint_candidate> endpoints,
                const std::optional<position_requirement>& need,
                std::span<const std::size_t> excluded, instant now);

/// The index of the endpoint for a read, never one of `excluded` (indexes);
/// nullopt if no endpoint is usable.
std::optional<std::size_t>
choose_for_read(std::span<const endpoint_candidate> endpoints,
                const std::optional<position_requirement>& need,
                std::span<const std::size_t> excluded, instant now);

} // namespace tanagerspan

#endif
