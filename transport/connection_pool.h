#ifndef TANAGERSPAN_TRANSPORT_CONNECTION_POOL_H
#define TANAGERSPAN_TRANSPORT_CONNECTION_POOL_H

// The connections of this proxy's seat to one member.
//
// Invariants: no more than `max` connections are open; a connection is lent
// to one user at a time; it comes back clean or not at all. An idle one is
// looked at before it is lent, and dropped if the peer closed it, if bytes
// that belong to no request have arrived, or if it was idle so long that
// something between may have lost track of it.
//
// Thread safe.

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

    /// Lends a connection. Errors: too_many_connections, not_sent.
    result<std::unique_ptr<http_connection>> acquire(std::int64_t timeout_ms,
                                                     instant now);

    /// Gives it back; kept if clean. Null counts as one that was closed.
    void release(std::unique_ptr<http_connection> connection, instant now);

    std::size_t open() const;

private:
    struct idle
    {
        std::unique_ptr<http_connection> connection_;
        instant since_;
    };

    options options_;
    mutable std::mutex mutex_;
    std::vector<idle> idle_;
    std::size_t lent_ = 0;
};

} // namespace tanagerspan

#endif
