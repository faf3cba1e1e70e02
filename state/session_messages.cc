#include "state/session_messages.h"

#include <array>
#include <utility>

namespace tanagerspan
{
namespace
{

struct error_properties
{
    reply_error code_;
    std::string_view name_;
    bool no_effect_;
};

constexpr std::array properties{
    error_properties{reply_error::busy, "busy", true},
    error_properties{reply_error::aborted, "aborted", true},
    error_properties{reply_error::lagging, "lagging", true},
    error_properties{reply_error::read_only, "read_only", true},
    error_properties{reply_error::wrong_endpoint, "wrong_endpoint", true},
    error_properties{reply_error::too_many_connections, "too_many_connections",
                     true},
    error_properties{reply_error::failed, "failed", false},
    error_properties{reply_error::no_statement, "no_statement", false},
    error_properties{reply_error::timeout, "timeout", false},
    error_properties{reply_error::unauthorised, "unauthorised", false},
    error_properties{reply_error::no_database, "no_database", false},
    error_properties{reply_error::too_large, "too_large", false},
    error_properties{reply_error::malformed, "malformed", false},
    error_properties{reply_error::in_doubt, "in_doubt", false},
};

const error_properties& properties_of(reply_error code)
{
    return properties.at(static_cast<std::size_t>(code));
}

} // namespace

std::string_view name_of(reply_error code)
{
    return properties_of(code).name_;
}

bool guarantees_no_effect(reply_error code)
{
    return properties_of(code).no_effect_;
}

} // namespace tanagerspan
