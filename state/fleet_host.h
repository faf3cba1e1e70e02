#ifndef TANAGERSPAN_STATE_FLEET_HOST_H
#define TANAGERSPAN_STATE_FLEET_HOST_H

// A host of the proxy fleet, as registered by its row in the table store.
// Each host writes its own row.

#include <cstdint>
#include <string>
#include <tuple>

#include "state/record.h"

namespace tanagerspan
{

struct fleet_host
{
    std::string name_; ///< the row's key
    std::string data_centre_;
    std::string peers_address_; ///< IP:PORT, for other proxies

    bool operator==(const fleet_host&) const = default;
};

/// Value of a host's row. `seen_ms_` is the store's clock at the last
/// renewal, in milliseconds.
struct fleet_host_row
{
    std::string data_centre_;
    std::string peers_address_;
    std::int64_t seen_ms_ = 0;
};

constexpr auto fields_of(const fleet_host_row*)
{
    return std::tuple{field{"data_centre", &fleet_host_row::data_centre_},
                      field{"peers_address", &fleet_host_row::peers_address_},
                      field{"seen_ms", &fleet_host_row::seen_ms_}};
}

} // namespace tanagerspan

#endif
