#ifndef TANAGERSPAN_COORDINATION_RELAY_PLAN_H
#define TANAGERSPAN_COORDINATION_RELAY_PLAN_H

// Decides which hosts watch the store for the others (the relays) and which of
// them a host asks.
//
// Each host decides by itself from its list of live hosts. The lists may differ
// for some seconds; a host that is asked and is no relay by its own list
// declines, so a wrong choice costs one message.
//
//   relay_choice choice({.own_ = own});
//   choice.set_hosts(live);
//   if (const fleet_host* relay = choice.pick(now))
//       ask(*relay); // and choice.on_failure(relay->name_, now) if it fails
//
// No I/O; the caller passes the time. Not thread safe.

#include <cstdint>
#include <span>
#include <string>
#include <string_view>
#include <vector>

#include "state/fleet_host.h"
#include "state/instant.h"

namespace tanagerspan
{

/// With fewer hosts in a data centre, two relays save too few calls to be worth
/// the dependence on them.
constexpr std::size_t min_hosts_for_relays = 8;
/// A second relay takes over when one fails.
constexpr std::size_t relays_per_data_centre = 2;

/// The relays of a data centre, highest ranked first. Empty unless every data
/// centre of `live` has `min_hosts_for_relays` hosts.
std::vector<fleet_host> relays_of(std::string_view data_centre,
                                  std::span<const fleet_host> live);

/// One host's choice of a relay.
class relay_choice
{
public:
    struct options
    {
        fleet_host own_;
        /// After a failed attempt at a relay the store is queried this long.
        std::int64_t pause_ms_ = 5000;
    };

    explicit relay_choice(options opts) : options_(std::move(opts))
    {
    }

    void set_hosts(std::span<const fleet_host> live);

    /// Whether this host is a relay.
    bool is_relay() const
    {
        return is_relay_;
    }

    /// The relay to ask, or null if the store is to be queried. Valid until the
    /// next change of hosts.
    const fleet_host* pick(instant now) const;

    /// Whether `name` is one of the relays that this host may ask.
    bool may_ask(std::string_view name) const;

    /// An attempt at the relay `name` failed: the store is queried for
    /// `pause_ms_`, and then the other relay is asked.
    void on_failure(std::string_view name, instant now);

private:
    options options_;
    std::vector<fleet_host> relays_; ///< in the order in which they are asked
    std::size_t current_ = 0;
    instant failed_at_ = never;
    bool is_relay_ = false;
};

} // namespace tanagerspan

#endif
