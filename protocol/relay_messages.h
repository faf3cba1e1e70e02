#ifndef TANAGERSPAN_PROTOCOL_RELAY_MESSAGES_H
#define TANAGERSPAN_PROTOCOL_RELAY_MESSAGES_H

// Messages between proxies: a watch of a table of the store at a relay, and the
// relay's answer. See coordination/relay_source.h.

#include <cstdint>
#include <string>
#include <tuple>
#include <vector>

#include "coordination/relay_source.h"
#include "state/record.h"

namespace tanagerspan
{

/// A relay answers within the wait of a request and this time. It is in the
/// same data centre and answers from memory.
constexpr std::int64_t relay_margin_ms = 500;

/// The longest wait of a request. A longer watch is sent as several.
constexpr std::int64_t max_relay_wait_ms = 30'000;

/// Body of a `relay_watch` frame.
struct relay_request
{
    std::string table_;
    std::int64_t after_ = 0;
    std::int64_t wait_ms_ = 0;
    std::int64_t proof_ms_ = 0; ///< see `relay_query`
};

constexpr auto fields_of(const relay_request*)
{
    using r = relay_request;
    return std::tuple{
        field{"t", &r::table_}, field{"v", &r::after_, {.min_ = 0}},
        field{"w", &r::wait_ms_, {.min_ = 0, .max_ = max_relay_wait_ms}},
        field{"p", &r::proof_ms_, {.min_ = 0}}};
}

/// Body of a `relay_watch_reply` frame. The other members are set only if the
/// outcome is `changes`.
struct relay_reply
{
    std::int64_t outcome_ = 0; ///< a `relay_outcome`
    std::vector<relayed_row> rows_;
    std::int64_t version_ = 0;
    std::int64_t proof_ms_ = 0; ///< the store's clock in the relayed answer
};

constexpr auto fields_of(const relay_reply*)
{
    using r = relay_reply;
    constexpr auto last_outcome =
        static_cast<std::int64_t>(relay_outcome::compacted);
    return std::tuple{
        field{"o", &r::outcome_, {.min_ = 0, .max_ = last_outcome}},
        field{"r", &r::rows_}, field{"v", &r::version_, {.min_ = 0}},
        field{"p", &r::proof_ms_, {.min_ = 0}}};
}

} // namespace tanagerspan

#endif
