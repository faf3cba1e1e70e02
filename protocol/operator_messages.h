#ifndef TANAGERSPAN_PROTOCOL_OPERATOR_MESSAGES_H
#define TANAGERSPAN_PROTOCOL_OPERATOR_MESSAGES_H

// Requests of operators; see docs/API.md.

#include <string>

#include "state/team_settings.h"

namespace tanagerspan
{

/// Sets a team's branch. `expected_version_` is the version that the operator
/// saw; -1 changes whatever is held. The change id makes a repeat harmless.
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

/// Orders a planned move of a service's primary.
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
