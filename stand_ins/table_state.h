#ifndef TANAGERSPAN_STAND_INS_TABLE_STATE_H
#define TANAGERSPAN_STAND_INS_TABLE_STATE_H

// Stand-in for the platform's table, without I/O: versioned rows with
// compare-and-set.

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
    /// Sets the row if its version is the expected one (0 for no row) and
    /// returns the new row. Errors: conflict, with the current version in the
    /// detail.
    result<platform_table_row> change(const table_change& wanted);
    result<platform_table_row> find(std::string_view key) const;

    /// Rows whose key starts with `prefix` and that changed after `revision`,
    /// in order of revision.
    std::vector<platform_table_row> changed_since(std::string_view prefix,
                                                  std::uint64_t revision) const;

private:
    std::map<std::string, platform_table_row, std::less<>> rows_;
    std::uint64_t revision_ = 0;
};

} // namespace tanagerspan

#endif
