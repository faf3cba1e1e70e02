#ifndef TANAGERSPAN_STATE_SERVICE_CATALOGUE_H
#define TANAGERSPAN_STATE_SERVICE_CATALOGUE_H

// The routes and endpoints that a proxy works with.
//
// A route table is one complete version of the operators' settings. It is
// never modified, only replaced by a table of a higher version. Endpoints
// publish their own entries, which may be out of date: an entry tells where
// to connect, and the endpoint's answers tell its current role and state.
//
// Both are plain values. The control thread builds them and passes immutable
// copies to the traffic thread.

#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <vector>

#include "state/instant.h"

namespace tanagerspan
{

/// The commits that a read on a route must include.
enum class read_consistency
{
    primary,           ///< every commit acknowledged before the read
    bounded_staleness, ///< all commits older than the route's bound
    read_your_writes   ///< as bounded_staleness, and the session's own commits
};

/// Returns the name that logs and metrics use.
constexpr std::string_view name_of(read_consistency consistency)
{
    switch (consistency)
    {
    case read_consistency::primary:
        return "primary";
    case read_consistency::bounded_staleness:
        return "bounded_staleness";
    default:
        return "read_your_writes";
    }
}

/// The service that sessions of one database use, and how.
struct database_route
{
    std::string name_;
    std::string database_;
    std::string service_;
    read_consistency consistency_ = read_consistency::primary;
    std::int64_t timeout_ms_ = 1000;        ///< of one statement
    std::int64_t target_latency_ms_ = 1000; ///< of a caller's operation
    std::int64_t max_staleness_ms_ = 0;     ///< 0: no bound is set
    std::int64_t priority_ = 5;             ///< 0 is the highest
    std::int64_t max_attempts_ = 2;
    /// Callers need no key; their statements belong to no client account.
    bool public_ = true;
};

/// The limit of a client account's operations, summed over all hosts.
struct account_limits
{
    std::optional<double> rate_per_s_; ///< nullopt: no limit
    double burst_ = 0;                 ///< operations beyond the rate

    bool operator==(const account_limits&) const = default;
};

/// Limits of each endpoint of a service.
struct service_limits
{
    std::int64_t max_connections_ = 0; ///< total over all callers
    /// Number of replicas that must receive a commit before the primary
    /// acknowledges it.
    std::int64_t sync_replicas_ = 0;
};

/// One version of the operators' settings.
struct route_table
{
    std::int64_t version_ = 0;
    std::map<std::string, database_route> by_database_;
    std::map<std::string, service_limits> services_;
    std::int64_t transaction_idle_ms_ = 3000;
    /// Whether the settings define client accounts.
    bool uses_accounts_ = false;
    std::map<std::string, account_limits> accounts_; ///< by account name
    /// The account that holds each key. Keys are secrets: they are never logged
    /// or sent on.
    std::map<std::string, std::string> account_of_key_;
    /// The accounts with a key that another account has, too. Such a key
    /// identifies neither.
    std::set<std::string> accounts_with_shared_keys_;
};

/// The account for which a caller with `key` uses `route`: empty on a public
/// route, nullopt if no account holds the key.
std::optional<std::string> find_account(const route_table& table,
                                        const database_route& route,
                                        const std::string& key);

/// An endpoint's own entry in the list of endpoints.
struct endpoint_entry
{
    std::string id_;
    std::string service_;
    std::string address_; ///< IP:PORT
    std::string data_centre_;
    std::int64_t slots_ = 1;
    std::int64_t warmup_remaining_ms_ = 0;
    std::int64_t started_ms_ = 0; ///< distinguishes restarts of one id
    bool leaving_ = false;
    bool primary_ = false;
    std::int64_t row_version_ = 0; ///< increases with each new entry
    /// A leaving endpoint gets no new work from this time on. `never` if it is
    /// unknown for how long the endpoint has been leaving.
    instant use_until_ = never;
};

using endpoint_list = std::vector<endpoint_entry>;
using route_table_ptr = std::shared_ptr<const route_table>;
using endpoint_list_ptr = std::shared_ptr<const endpoint_list>;

} // namespace tanagerspan

#endif
