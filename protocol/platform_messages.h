#ifndef TANAGERSPAN_PROTOCOL_PLATFORM_MESSAGES_H
#define TANAGERSPAN_PROTOCOL_PLATFORM_MESSAGES_H

// Records that proxies exchange with the platform's services. The assumptions
// behind each record are listed in docs/STAND-INS.md.

#include <cstdint>
#include <string>

#include "state/record.h"

namespace tanagerspan
{

/// A row. Each change of the row increases its version by one.
struct platform_table_row
{
    std::string key_;
    std::uint64_t version_ = 0;
    std::uint64_t revision_ = 0; ///< of the table after the row's last change
    std::string value_;
};

constexpr auto fields_of(const platform_table_row*)
{
    return std::tuple{field{"key", &platform_table_row::key_},
                      field{"version", &platform_table_row::version_},
                      field{"revision", &platform_table_row::revision_},
                      field{"value", &platform_table_row::value_}};
}

/// A compare-and-set of a row: applied if the row's version is `expected_`,
/// where 0 means that the row does not exist.
struct table_change
{
    std::string key_;
    std::uint64_t expected_ = 0;
    std::string value_;
};

constexpr auto fields_of(const table_change*)
{
    return std::tuple{
        field{"key",
              &table_change::key_,
              {.min_ = 1, .max_ = 200, .required_ = true}},
        field{"expected", &table_change::expected_, {.required_ = true}},
        field{"value",
              &table_change::value_,
              {.max_ = 1'000'000, .required_ = true}}};
}

/// A host in the platform's list, which may be out of date.
struct listed_host
{
    std::string name_;
    std::string address_;
    bool leaving_ = false;
};

constexpr auto fields_of(const listed_host*)
{
    return std::tuple{field{"name", &listed_host::name_},
                      field{"address", &listed_host::address_},
                      field{"leaving", &listed_host::leaving_}};
}

/// A query for one row, or for the rows whose key has the prefix `key_` and
/// that changed after `revision_`.
struct table_query
{
    std::string key_;
    std::uint64_t revision_ = 0;
};

constexpr auto fields_of(const table_query*)
{
    return std::tuple{
        field{"key", &table_query::key_, {.max_ = 200, .required_ = true}},
        field{"revision", &table_query::revision_}};
}

} // namespace tanagerspan

#endif
