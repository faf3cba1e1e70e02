#ifndef TANAGERSPAN_TRANSPORT_PLATFORM_CLIENT_H
#define TANAGERSPAN_TRANSPORT_PLATFORM_CLIENT_H

// A client of the platform's table service, object store and host list. Calls
// block; not thread-safe. Every call can fail with `not_sent`, `lost` (a change
// may have taken effect) or `unavailable`.

#include <string>
#include <string_view>
#include <vector>

#include "protocol/platform_messages.h"
#include "transport/http_connection.h"

namespace tanagerspan
{

class platform_client
{
public:
    platform_client(http_connection& connection, std::int64_t timeout_ms)
        : connection_(connection), timeout_ms_(timeout_ms)
    {
    }

    /// Changes a row and returns it. Errors: conflict, and those above.
    result<platform_table_row> change(const table_change& wanted);

    /// Errors: not_found, and those above.
    result<platform_table_row> find(std::string_view key);

    result<std::vector<platform_table_row>>
    changed_since(std::string_view prefix, std::uint64_t revision);

    /// Lists the hosts of the fleet.
    result<std::vector<listed_host>> hosts();

    result<void> put_object(std::string_view name, std::string_view content);
    result<std::string> get_object(std::string_view name);

private:
    http_connection& connection_;
    std::int64_t timeout_ms_;
};

} // namespace tanagerspan

#endif
