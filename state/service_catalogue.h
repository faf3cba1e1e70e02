#ifndef TANAGERSPAN_STATE_SERVICE_CATALOGUE_H
#define TANAGERSPAN_STATE_SERVICE_CATALOGUE_H

// What a proxy knows of the outside: the routes in force and the endpoints.
//
// A route table is one whole version of the operators' settings; it is
// replaced, never edited, and only by one of a higher version. Endpoints are
// listed by their own entries, which lag: an entry is a hint of where to
// connect, and the endpoint's own answers decide what it is.
//
// Both are plain values. The control thread builds them and hands immutable
// copies to the traffic thread.

#include <cstdint>
#include <map>
#include <memory>
#include <string>
#include <vector>

namespace tanagerspan
{

/// What a read on a route must have seen.
enum class read_consistency
{
    primary,           ///< every commit acknowledged before the read
    bounded_staleness, ///< all commits older than the route's bound
    read_your_writes   ///< the same, and the session's own commits
};

/// Where the sessions of one database go.
struct database_route
{
    std::string name_;
    std::string database_;
    std::string service_;
    read_consistency consistency_ = read_consistency::primary;
    std::int64_t timeout_ms_ = 1000;        ///< for one statement
    std::int64_t target_latency_ms_ = 1000; ///< for a caller's operation
    std::int64_t max_staleness_ms_ = 0;     ///< 0: no bound is stated
    std::int64_t priority_ = 5;             ///< 0 goes first
    std::int64_t max_attempts_ = 2;
};

/// Limits that hold for each endpoint of a service.
struct service_limits
{
    std::int64_t max_connections_ = 0; ///< of all callers together
    std::int64_t sync_replicas_ = 0;   ///< receipts an acknowledgement needs
};

/// One version of the operators' settings.
struct route_table
{
    std::int64_t version_ = 0;
    std::map<std::string, database_route> by_database_;
    std::map<std::string, service_limits> services_;
    std::int64_t transaction_idle_ms_ = 3000;
};

/// What an endpoint says of itself.
struct endpoint_entry
{
    std::string id_;
    std::string service_;
    std::string address_; ///< IP:PORT
    std::string data_centre_;
    std::int64_t slots_ = 1;
    std::int64_t warmup_remaining_ms_ = 0;
    std::int64_t started_ms_ = 0; ///< tells incarnations of one id apart
    bool leaving_ = false;
    bool primary_ = false;
    std::int64_t row_version_ = 0; ///< later entries have higher ones
};

using endpoint_list = std::vector<endpoint_entry>;
using route_table_ptr = std::shared_ptr<const route_table>;
using endpoint_list_ptr = std::shared_ptr<const endpoint_list>;

} // namespace tanagerspan

#endif
