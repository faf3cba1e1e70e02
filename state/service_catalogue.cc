#include "state/service_catalogue.h"

namespace tanagerspan
{

std::optional<std::string> find_account(const route_table& table,
                                        const database_route& route,
                                        const std::string& key)
{
    if (route.public_)
        return std::string();
    auto holder = table.account_of_key_.find(key);
    if (holder == table.account_of_key_.end())
        return std::nullopt;
    return holder->second;
}

} // namespace tanagerspan
