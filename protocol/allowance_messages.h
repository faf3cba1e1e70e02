#ifndef TANAGERSPAN_PROTOCOL_ALLOWANCE_MESSAGES_H
#define TANAGERSPAN_PROTOCOL_ALLOWANCE_MESSAGES_H

// Messages between proxies: a request for tokens of an allowance slice, and the
// answer of the host that holds the slice, or of one that does not.

#include <cstdint>
#include <map>
#include <string>
#include <tuple>

#include "state/record.h"

namespace tanagerspan
{

/// Body of an `allowance` frame.
struct allowance_request
{
    std::int64_t slice_ = 0;
    std::map<std::string, std::int64_t> wanted_; ///< tokens, by account
};

constexpr auto fields_of(const allowance_request*)
{
    using r = allowance_request;
    constexpr std::int64_t max_accounts = 10'000;
    return std::tuple{field{"s", &r::slice_, {.min_ = 0, .max_ = 1000}},
                      field{"w", &r::wanted_, {.max_ = max_accounts}}};
}

/// Body of an `allowance_reply` frame.
struct allowance_reply
{
    /// False: the receiver does not hold the slice and granted nothing.
    bool holder_ = false;
    std::map<std::string, std::int64_t> granted_; ///< tokens, by account
    /// When the next token is available, by account that got fewer than wanted.
    std::map<std::string, std::int64_t> retry_after_ms_;
    /// If known, the host that holds the slice.
    std::string other_holder_;
    std::string other_address_;
};

constexpr auto fields_of(const allowance_reply*)
{
    using r = allowance_reply;
    return std::tuple{field{"h", &r::holder_}, field{"g", &r::granted_},
                      field{"r", &r::retry_after_ms_},
                      field{"o", &r::other_holder_},
                      field{"a", &r::other_address_}};
}

} // namespace tanagerspan

#endif
