#ifndef TANAGERSPAN_COORDINATION_MEMBER_RECORD_H
#define TANAGERSPAN_COORDINATION_MEMBER_RECORD_H

// The stored record of a service's endpoints, one row per service.
//
// An endpoint that is no longer listed may have confirmed changes that no other
// endpoint has. The record names every endpoint whose log may matter for a
// promotion, from the moment it joined, so that a host that starts after its
// departure takes it into account. It is removed once a position is known that
// bounds its log; a log that contains `bound_` contains what it received.
//
// One host of a service keeps the row up to date (node/takeover_driver.h). A
// claim is conditional on the row's version, so the holder of a claim knows
// the row as it was then.
//
// Pure. Any thread.

#include <cstdint>
#include <string>
#include <vector>

#include "state/log_position_record.h"
#include "state/record.h"

namespace tanagerspan
{

struct recorded_endpoint
{
    std::string id_;
    std::string address_;
    std::int64_t started_ms_ = 0; ///< identifies one start of the endpoint

    bool operator==(const recorded_endpoint&) const = default;
};

constexpr auto fields_of(const recorded_endpoint*)
{
    return std::tuple{field{"id", &recorded_endpoint::id_},
                      field{"address", &recorded_endpoint::address_},
                      field{"started_ms", &recorded_endpoint::started_ms_}};
}

struct member_record
{
    std::vector<recorded_endpoint> endpoints_; ///< by id
    log_position bound_{};

    bool operator==(const member_record&) const = default;
};

constexpr auto fields_of(const member_record*)
{
    return std::tuple{field{"endpoints", &member_record::endpoints_},
                      field{"bound", &member_record::bound_}};
}

} // namespace tanagerspan

#endif
