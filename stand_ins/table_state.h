#ifndef TANAGERSPAN_STAND_INS_TABLE_STATE_H
#define TANAGERSPAN_STAND_INS_TABLE_STATE_H

// A stand-in for the platform's services, without I/O: rows with versions
// and compare-and-set, objects, and the list of hosts.

#include <cstdint>
#include <map>
#include <string>
#include <string_view>
#include <vector>

#include "protocol/platform_messages.h"

namespace tanagerspan
{

class table_state
{
public:
    /// The row as set. Errors: conflict, with the held row in the detail.
    result<platform_table_row> change(const table_change& wanted);
    result<platform_table_row> find(std::string_view key) const;

    /// Rows of a prefix changed after `revision`, in order of revision.
    std::vector<platform_table_row> changed_since(std::string_view prefix,
                                                  std::uint64_t revision) const;

private:
    std::map<std::string, platform_table_row, std::less<>> rows_;
    std::uint64_t revision_ = 0;
};

} // namespace tanagerspan

#endif
