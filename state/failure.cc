#include "state/failure.h"

#include <array>
#include <utility>

namespace tanagerspan
{
namespace
{

using entry = std::pair<error_code, std::string_view>;

constexpr std::array names{
    entry{error_code::malformed, "malformed"},
    entry{error_code::too_large, "too_large"},
    entry{error_code::unknown_key, "unknown_key"},
    entry{error_code::out_of_range, "out_of_range"},
    entry{error_code::bad_version, "bad_version"},
    entry{error_code::bad_signature, "bad_signature"},
    entry{error_code::unknown_service, "unknown_service"},
    entry{error_code::unknown_transaction, "unknown_transaction"},
    entry{error_code::not_found, "not_found"},
    entry{error_code::conflict, "conflict"},
    entry{error_code::not_primary, "not_primary"},
    entry{error_code::fenced, "fenced"},
    entry{error_code::no_slot, "no_slot"},
    entry{error_code::too_many_connections, "too_many_connections"},
    entry{error_code::leaving, "leaving"},
    entry{error_code::deadline_passed, "deadline_passed"},
    entry{error_code::queue_full, "queue_full"},
    entry{error_code::over_limit, "over_limit"},
    entry{error_code::not_home, "not_home"},
    entry{error_code::draining, "draining"},
    entry{error_code::not_ready, "not_ready"},
    entry{error_code::no_primary, "no_primary"},
    entry{error_code::unconfirmed, "unconfirmed"},
    entry{error_code::future_position, "future_position"},
    entry{error_code::not_sent, "not_sent"},
    entry{error_code::lost, "lost"},
    entry{error_code::unavailable, "unavailable"},
    entry{error_code::over_rate, "over_rate"},
    entry{error_code::compacted, "compacted"},
};

} // namespace

std::string_view name_of(error_code code)
{
    for (const auto& [value, name] : names)
    {
        if (value == code)
            return name;
    }
    return "malformed";
}

error_code error_code_of(std::string_view name)
{
    for (const auto& [value, known] : names)
    {
        if (known == name)
            return value;
    }
    return error_code::malformed;
}

} // namespace tanagerspan
