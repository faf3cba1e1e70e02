#ifndef TANAGERSPAN_PROTOCOL_CATALOGUE_FORMAT_H
#define TANAGERSPAN_PROTOCOL_CATALOGUE_FORMAT_H

// Where the outside keeps the operators' settings and the endpoints' entries,
// and how their values read. A strategy object, so that the control side knows
// tables and rows but no document of any deployment.

#include <cstdint>
#include <functional>
#include <string>
#include <string_view>

#include "state/failure.h"
#include "state/service_catalogue.h"

namespace tanagerspan
{

/// Where the outside keeps what a proxy follows, and how it reads.
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
