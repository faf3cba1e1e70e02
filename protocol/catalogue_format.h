#ifndef TANAGERSPAN_PROTOCOL_CATALOGUE_FORMAT_H
#define TANAGERSPAN_PROTOCOL_CATALOGUE_FORMAT_H

// The tables that hold the operators' settings and the endpoints' entries, and
// the functions that parse them. The control thread gets these as a strategy
// object, so that it does not depend on the document formats of one platform.

#include <cstdint>
#include <functional>
#include <string>
#include <string_view>

#include "state/failure.h"
#include "state/service_catalogue.h"

namespace tanagerspan
{

/// Names of tables and keys, and parsers of their rows.
struct catalogue_format
{
    std::string settings_table_;
    std::string settings_key_;
    std::string endpoints_table_;
    std::function<result<route_table>(std::string_view)> parse_routes_;
    std::function<result<endpoint_entry>(
        std::string_view id, std::string_view text, std::int64_t row_version)>
        parse_endpoint_;
};

} // namespace tanagerspan

#endif
