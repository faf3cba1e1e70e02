#include "coordination/statement.h"

namespace tanagerspan
{

std::string_view name_of(outcome value)
{
    if (value == outcome::done)
        return "done";
    return value == outcome::not_run ? "not_run" : "unknown";
}

bool is_not_sent(error_code code)
{
    return code == error_code::not_sent || code == error_code::queue_full ||
           code == error_code::deadline_passed ||
           code == error_code::over_limit;
}

bool is_endpoint_refusal(error_code code)
{
    switch (code)
    {
    case error_code::not_primary:
    case error_code::fenced:
    case error_code::no_slot:
    case error_code::too_many_connections:
    case error_code::leaving:
    case error_code::conflict:
    case error_code::malformed:
    case error_code::unknown_transaction:
        return true;
    default:
        return false;
    }
}

} // namespace tanagerspan
