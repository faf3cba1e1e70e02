#ifndef TANAGERSPAN_PROTOCOL_OPERATOR_MESSAGES_H
#define TANAGERSPAN_PROTOCOL_OPERATOR_MESSAGES_H

// Requests of operators, as specified in docs/API.md.

#include <string>

#include "state/team_settings.h"

namespace tanagerspan
{

/// A request to replace a team's settings. `expected_version_` is the version
/// that the change is based on; -1 replaces any version. `change_id_` makes
/// retries idempotent.
struct settings_request
{
    std::int64_t expected_version_ = -1;
    std::string change_id_;
    team_settings plan_;
};

constexpr auto fields_of(const settings_request*)
{
    return std::tuple{field{"expected_version",
                            &settings_request::expected_version_,
                            {.min_ = -1}},
                      field{"change_id",
                            &settings_request::change_id_,
                            {.min_ = 1, .max_ = 128, .required_ = true}},
                      field{"plan", &settings_request::plan_}};
}

/// A request to move a service's primary to the endpoint `target_`.
struct move_request
{
    std::string service_;
    std::string target_;
};

constexpr auto fields_of(const move_request*)
{
    return std::tuple{field{"service",
                            &move_request::service_,
                            {.min_ = 1, .max_ = 129, .required_ = true}},
                      field{"target",
                            &move_request::target_,
                            {.min_ = 1, .max_ = 64, .required_ = true}}};
}

} // namespace tanagerspan

#endif
