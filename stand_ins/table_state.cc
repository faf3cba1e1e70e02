#include "stand_ins/table_state.h"

#include <algorithm>

namespace tanagerspan
{

result<platform_table_row> table_state::change(const table_change& wanted)
{
    auto at = rows_.find(wanted.key_);
    std::uint64_t held = at == rows_.end() ? 0 : at->second.version_;
    if (held != wanted.expected_)
        return fail(error_code::conflict, "version is " + std::to_string(held));
    auto& row = rows_[wanted.key_];
    row = {.key_ = wanted.key_,
           .version_ = held + 1,
           .revision_ = ++revision_,
           .value_ = wanted.value_};
    return row;
}

result<platform_table_row> table_state::find(std::string_view key) const
{
    auto at = rows_.find(key);
    if (at == rows_.end())
        return fail(error_code::not_found, std::string(key));
    return at->second;
}

std::vector<platform_table_row>
table_state::changed_since(std::string_view prefix,
                           std::uint64_t revision) const
{
    std::vector<platform_table_row> out;
    for (const auto& [key, row] : rows_)
    {
        if (key.starts_with(prefix) && row.revision_ > revision)
            out.push_back(row);
    }
    std::sort(out.begin(), out.end(),
              [](const platform_table_row& a, const platform_table_row& b)
              {
                  return a.revision_ < b.revision_;
              });
    return out;
}

} // namespace tanagerspan
