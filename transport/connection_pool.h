#ifndef TANAGERSPAN_TRANSPORT_CONNECTION_POOL_H
#define TANAGERSPAN_TRANSPORT_CONNECTION_POOL_H

// A pool of connections to one endpoint, within this proxy's share of the
// endpoint's connection limit.
//
// Invariants: at most `max_` connections are open; a connection has one user
// at a time; only clean connections are reused. `acquire` closes idle
// connections that the peer closed, that have unread bytes, or that were idle
// for longer than `max_idle_ms_`, since a network device between the hosts may
// have dropped their state.
//
// Thread-safe.

#include <functional>
#include <memory>
#include <mutex>
#include <vector>

#include "state/instant.h"
#include "transport/http_connection.h"

namespace tanagerspan
{

class connection_pool
{
public:
    struct options
    {
        std::string address_{};
        std::size_t max_ = 4;
        std::int64_t max_idle_ms_ = 20'000;
    };

    explicit connection_pool(options opts);

    /// Returns a connected connection. Errors: too_many_connections, not_sent,
    /// malformed (address).
    result<std::unique_ptr<http_connection>> acquire(std::int64_t timeout_ms,
                                                     instant now);

    /// Returns a connection to the pool, which keeps it if it is clean. Null
    /// stands for a connection that was closed.
    void release(std::unique_ptr<http_connection> connection, instant now);

    /// The number of open connections, in use and idle.
    std::size_t open() const;

private:
    struct idle_connection
    {
        std::unique_ptr<http_connection> connection_;
        instant since_;
    };

    options options_;
    mutable std::mutex mutex_;
    std::vector<idle_connection> idle_;
    std::size_t in_use_ = 0;
};

} // namespace tanagerspan

#endif
