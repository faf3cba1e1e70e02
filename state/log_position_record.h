#ifndef TANAGERSPAN_STATE_LOG_POSITION_RECORD_H
#define TANAGERSPAN_STATE_LOG_POSITION_RECORD_H

// Field table of `log_position`, for records that are sent or stored.

#include "state/log_position.h"
#include "state/record.h"

namespace tanagerspan
{

constexpr auto fields_of(const log_position*)
{
    return std::tuple{field{"term", &log_position::term_},
                      field{"index", &log_position::index_}};
}

} // namespace tanagerspan

#endif
