#ifndef TANAGERSPAN_NODE_ALLOWANCE_SERVER_H
#define TANAGERSPAN_NODE_ALLOWANCE_SERVER_H

// Grants tokens of the allowance slices that this host holds. A request for a
// slice that it does not hold is answered with the holder, if known, and makes
// this host check the lease.
//
// Not thread safe: use on the traffic thread only.

#include <functional>
#include <utility>
#include <vector>

#include "coordination/allowance_bucket.h"
#include "node/allowance_leases.h"
#include "protocol/allowance_messages.h"
#include "state/service_catalogue.h"

namespace tanagerspan
{

class allowance_server
{
public:
    /// `check` receives a slice whose lease should be checked.
    allowance_server(std::function<void(std::size_t)> check,
                     allowance_buckets::options buckets)
        : check_(std::move(check))
    {
        for (std::size_t i = 0; i < allowance_slices; ++i)
            slices_.push_back({.buckets_ = allowance_buckets(buckets)});
    }

    void set_routes(route_table_ptr routes);
    void set_lease(const allowance_lease_state& lease, instant now);

    allowance_reply answer(const allowance_request& request, instant now);

    /// Has the lease of a slice checked, unless that was done lately.
    void check(std::size_t slice, instant now);

    /// Tokens granted so far.
    std::uint64_t granted() const
    {
        return granted_;
    }

private:
    /// The lease is checked at most at this interval.
    static constexpr std::int64_t check_interval_ms = 300;

    struct slice
    {
        allowance_lease_state lease_;
        allowance_buckets buckets_;
        instant checked_at_ = never;
    };

    std::function<void(std::size_t)> check_;
    route_table_ptr routes_;
    std::vector<slice> slices_;
    std::uint64_t granted_ = 0;
};

} // namespace tanagerspan

#endif
