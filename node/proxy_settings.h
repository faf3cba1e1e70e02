#ifndef TANAGERSPAN_NODE_PROXY_SETTINGS_H
#define TANAGERSPAN_NODE_PROXY_SETTINGS_H

// The settings file of one `tanager_proxy` process: its addresses and limits.
// The settings of services are kept per team (state/team_settings.h). The file
// is JSON with comments; every key is checked before the process starts.

#include <string>
#include <string_view>

#include "state/record.h"

namespace tanagerspan
{

struct proxy_settings
{
    std::string name_;
    std::string data_centre_;
    std::string callers_address_;
    std::string peers_address_;
    std::string platform_address_;
    std::string fleet_key_;
    std::int64_t max_caller_connections_ = 3000;
    std::int64_t max_peer_connections_ = 64;
    std::int64_t probe_wait_ms_ = 300;
    std::int64_t silence_ms_ = 600;
    std::int64_t gossip_period_ms_ = 1000;
    std::int64_t drain_notice_ms_ = 2000;
    std::int64_t drain_bound_ms_ = 20'000;
    std::string log_level_ = "info";
};

constexpr auto fields_of(const proxy_settings*)
{
    return std::tuple{
        field{"name",
              &proxy_settings::name_,
              {.min_ = 1,
               .max_ = 64,
               .required_ = true,
               .help_ = "name of this proxy, unique in the fleet"}},
        field{"data_centre",
              &proxy_settings::data_centre_,
              {.min_ = 1,
               .max_ = 64,
               .required_ = true,
               .help_ = "data centre of the host"}},
        field{"callers_address",
              &proxy_settings::callers_address_,
              {.min_ = 7,
               .max_ = 64,
               .required_ = true,
               .help_ = "IP:PORT for callers and operators"}},
        field{"peers_address",
              &proxy_settings::peers_address_,
              {.min_ = 7,
               .max_ = 64,
               .required_ = true,
               .help_ = "IP:PORT for other proxies"}},
        field{"platform_address",
              &proxy_settings::platform_address_,
              {.min_ = 7,
               .max_ = 64,
               .required_ = true,
               .help_ = "IP:PORT of the platform's services"}},
        field{"fleet_key",
              &proxy_settings::fleet_key_,
              {.min_ = 16,
               .max_ = 256,
               .required_ = true,
               .help_ = "secret that signs session tokens, the same for all "
                        "proxies"}},
        field{"max_caller_connections",
              &proxy_settings::max_caller_connections_,
              {.min_ = 1,
               .max_ = 20'000,
               .unit_ = "connections",
               .help_ = "maximum number of open caller connections"}},
        field{"max_peer_connections",
              &proxy_settings::max_peer_connections_,
              {.min_ = 2,
               .max_ = 1'000,
               .unit_ = "connections",
               .help_ = "maximum number of connections from other proxies"}},
        field{"probe_wait_ms",
              &proxy_settings::probe_wait_ms_,
              {.min_ = 20,
               .max_ = 10'000,
               .unit_ = "ms",
               .help_ = "how long a member without changes may delay its "
                        "answer to a status request"}},
        field{"silence_ms",
              &proxy_settings::silence_ms_,
              {.min_ = 100,
               .max_ = 15'000,
               .unit_ = "ms",
               .help_ = "how long replicas have not heard from a primary "
                        "before it is suspected"}},
        field{"gossip_period_ms",
              &proxy_settings::gossip_period_ms_,
              {.min_ = 50,
               .max_ = 5'000,
               .unit_ = "ms",
               .help_ = "interval between gossip messages to other proxies"}},
        field{"drain_notice_ms",
              &proxy_settings::drain_notice_ms_,
              {.min_ = 0,
               .max_ = 60'000,
               .unit_ = "ms",
               .help_ = "how long new work is accepted after readiness has "
                        "failed at shutdown"}},
        field{"drain_bound_ms",
              &proxy_settings::drain_bound_ms_,
              {.min_ = 100,
               .max_ = 600'000,
               .unit_ = "ms",
               .help_ = "maximum wait for work in flight at shutdown"}},
        field{"log_level",
              &proxy_settings::log_level_,
              {.max_ = 8, .help_ = "debug, info, warning or error"}}};
}

/// Reads and checks the file. Errors: not_found (the file cannot be read), and
/// those of `parse_proxy_settings`.
result<proxy_settings> load_proxy_settings(const std::string& path);

/// Parses and checks the text of a settings file. Errors: those of `decode`,
/// and out_of_range for an unknown log level or an address that is not
/// IP:PORT.
result<proxy_settings> parse_proxy_settings(std::string_view text);

} // namespace tanagerspan

#endif
