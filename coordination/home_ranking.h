#ifndef TANAGERSPAN_COORDINATION_HOME_RANKING_H
#define TANAGERSPAN_COORDINATION_HOME_RANKING_H

// Which proxies are a service's homes, and what share of a member's limits
// each of them has.
//
// Rendezvous hashing ranks the live proxies for a service; the first `homes`
// of them are its homes and hold connections to its members, the rest
// forward by one hop. Views of who is alive may differ, so the ranking alone
// bounds nothing. What bounds is the seat: rank r uses seat r of the member,
// and the member itself enforces each seat's share (a database role with a
// connection limit). Shares of all seats add up to at most the limit, so two
// proxies that both believe in rank r share one seat, and a dead proxy's
// share is free as soon as its connections are gone.

#include <cstdint>
#include <map>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace tanagerspan
{

/// Proxies in order of preference for `service`; at most `homes` of them.
std::vector<std::string> rank_homes(std::string_view service,
                                    std::span<const std::string> proxies,
                                    std::size_t homes);

/// The rankings of all services, kept up to date as proxies come and go. A
/// change of one proxy costs one hash a service and a new ranking only where
/// that proxy is or becomes a home; ranking all anew would cost services
/// times proxies. Gives what `rank_homes` gives. One thread at a time.
class ranking_cache
{
public:
    /// Sets the proxies; `live` is sorted.
    void set_live(std::span<const std::string> live);

    /// The homes of `service`; valid until the next call.
    const std::vector<std::string>& homes_of(const std::string& service,
                                             std::size_t homes);

    /// Forgets services that were not asked for since the last call.
    void forget_unused();

private:
    struct entry
    {
        std::size_t wanted_ = 0;
        std::vector<std::string> homes_;
        bool used_ = false;
    };

    std::vector<std::string> live_;
    std::map<std::string, entry> entries_;
};

/// The part of `limit` that seat `rank` of `homes` has. The parts of all
/// ranks add up to exactly `limit`.
std::int64_t seat_share(std::int64_t limit, std::int64_t rank,
                        std::int64_t homes);

} // namespace tanagerspan

#endif
