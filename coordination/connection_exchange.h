#ifndef TANAGERSPAN_COORDINATION_CONNECTION_EXCHANGE_H
#define TANAGERSPAN_COORDINATION_CONNECTION_EXCHANGE_H

// Decides which idle connection to an endpoint is closed, so that another
// client account can open one in its place.
//
// A connection belongs to one account from its opening to its close. Where
// there are more accounts than connections to an endpoint, connections
// therefore change accounts, and each change occupies a slot of the endpoint
// for the set-up. Two rules keep changes rare without starving an account:
//
//  * A connection that has just become idle is likely to be used again by its
//    own account, so a request of another account takes it only after it was
//    idle for a while.
//  * A request that has waited for long takes any idle connection. It thereby
//    goes ahead of later requests of that connection's account.
//
// The connection that has been idle for the longest time is taken first, so
// that accounts with much traffic keep theirs.
//
// Pure functions: no clock, no I/O.

#include <cstddef>
#include <cstdint>
#include <optional>
#include <span>
#include <string_view>

#include "state/instant.h"

namespace tanagerspan
{

struct idle_connection
{
    std::string_view account_;
    instant idle_since_{};
};

struct exchange_limits
{
    /// An idle connection is taken after this time: several round trips between
    /// data centres, in which its own account would have used it under load.
    std::int64_t give_up_idle_ms_ = 20;
    /// A request that has waited this long takes any idle connection: a few
    /// times the set-up of a connection, so that changes of account do not use
    /// up the endpoint, and a small part of the shortest target latency.
    std::int64_t claim_after_ms_ = 40;
};

/// The index of the connection to close for a request of `account` that has
/// waited since `waiting_since`; nullopt if none may be closed yet. Connections
/// of `account` itself are never chosen.
std::optional<std::size_t>
connection_to_exchange(std::span<const idle_connection> idle,
                       std::string_view account, instant waiting_since,
                       instant now, const exchange_limits& limits = {});

} // namespace tanagerspan

#endif
