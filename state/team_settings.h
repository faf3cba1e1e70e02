#ifndef TANAGERSPAN_STATE_TEAM_SETTINGS_H
#define TANAGERSPAN_STATE_TEAM_SETTINGS_H

// One team's branch of the settings tree: its services, and for each service
// its endpoints, limits and classes of work. docs/SETTINGS.md lists every key
// with its unit, range and default; a test compares it with these tables.

#include <map>
#include <string>

#include "state/record.h"

namespace tanagerspan
{

/// Settings of one class of work.
struct class_settings
{
    std::int64_t priority_ = 5;
    bool replica_reads_ = false;
    std::int64_t max_age_ms_ = 0;
    std::int64_t deadline_ms_ = 5000;

    bool operator==(const class_settings&) const = default;
};

constexpr auto fields_of(const class_settings*)
{
    return std::tuple{
        field{"priority",
              &class_settings::priority_,
              {.min_ = 0,
               .max_ = 9,
               .help_ = "priority of waiting statements; 0 is served first"}},
        field{"replica_reads",
              &class_settings::replica_reads_,
              {.help_ = "whether replicas may answer reads"}},
        field{"max_age_ms",
              &class_settings::max_age_ms_,
              {.min_ = 0,
               .max_ = 3'600'000,
               .unit_ = "ms",
               .help_ = "maximum age of the data that a read returns; 0 for "
                        "data as fresh as the session needs"}},
        field{"deadline_ms",
              &class_settings::deadline_ms_,
              {.min_ = 10,
               .max_ = 60'000,
               .unit_ = "ms",
               .help_ = "deadline of statements that specify none"}}};
}

/// Settings of one database service.
struct service_settings
{
    std::map<std::string, std::string> members_;
    std::int64_t connection_limit_ = 35;
    std::int64_t slots_ = 5;
    std::int64_t homes_ = 2;
    std::map<std::string, class_settings> classes_;

    bool operator==(const service_settings&) const = default;
};

constexpr auto fields_of(const service_settings*)
{
    return std::tuple{
        field{"members",
              &service_settings::members_,
              {.min_ = 1,
               .max_ = 9,
               .required_ = true,
               .help_ = "names of the members with their IP:PORT"}},
        field{"connection_limit",
              &service_settings::connection_limit_,
              {.min_ = 2,
               .max_ = 10'000,
               .unit_ = "connections",
               .help_ = "maximum number of connections to one member"}},
        field{"slots",
              &service_settings::slots_,
              {.min_ = 1,
               .max_ = 1'000,
               .unit_ = "statements",
               .help_ = "maximum number of statements that one member runs "
                        "at a time"}},
        field{"homes",
              &service_settings::homes_,
              {.min_ = 1,
               .max_ = 16,
               .unit_ = "proxies",
               .help_ = "number of home proxies, which share the connection "
                        "limit and the slots"}},
        field{"classes",
              &service_settings::classes_,
              {.max_ = 32, .help_ = "classes of work, by name"}}};
}

/// All settings of a team.
struct team_settings
{
    std::map<std::string, service_settings> services_;
    std::int64_t max_waiting_ = 200;

    bool operator==(const team_settings&) const = default;
};

constexpr auto fields_of(const team_settings*)
{
    return std::tuple{
        field{"services",
              &team_settings::services_,
              {.max_ = 64, .help_ = "services, by name"}},
        field{"max_waiting",
              &team_settings::max_waiting_,
              {.min_ = 1,
               .max_ = 10'000,
               .unit_ = "statements",
               .help_ = "maximum number of statements that wait on one proxy "
                        "for one member"}}};
}

/// One version of a team's branch. A withdrawn branch keeps its version, so
/// that an older version cannot replace it.
struct settings_branch
{
    std::string team_;
    std::uint64_t version_ = 0;
    std::string change_id_;
    bool withdrawn_ = false;
    team_settings plan_;

    bool operator==(const settings_branch&) const = default;
};

constexpr auto fields_of(const settings_branch*)
{
    return std::tuple{
        field{"team",
              &settings_branch::team_,
              {.min_ = 1, .max_ = 64, .required_ = true}},
        field{"version", &settings_branch::version_, {.required_ = true}},
        field{"change_id", &settings_branch::change_id_, {.max_ = 128}},
        field{"withdrawn", &settings_branch::withdrawn_},
        field{"plan", &settings_branch::plan_}};
}

} // namespace tanagerspan

#endif
