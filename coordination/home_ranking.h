#ifndef TANAGERSPAN_COORDINATION_HOME_RANKING_H
#define TANAGERSPAN_COORDINATION_HOME_RANKING_H

// Ranks the proxies that are a service's homes, and divides a member's limits
// among them.
//
// Rendezvous hashing ranks the live proxies for a service. The first `homes`
// of them are its homes and hold connections to its members; the others
// forward statements by one hop. Proxies may disagree on which proxies are
// live, so the ranking alone enforces no limit. The member does: the home of
// rank r uses seat r, a database role with its own connection limit, and the
// limits of all seats add up to at most the member's. Two proxies that both
// assume rank r share one seat, and the share of a failed proxy is free as soon
// as its connections are closed.

#include <cstdint>
#include <map>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace tanagerspan
{

/// The `homes` highest ranked proxies for `service`, highest first; fewer if
/// there are not as many proxies.
std::vector<std::string> rank_homes(std::string_view service,
                                    std::span<const std::string> proxies,
                                    std::size_t homes);

/// Caches the homes of all services and updates them as proxies join and leave.
/// A change of one proxy takes one hash a service, and a full ranking only for
/// services whose home left; ranking all again would take services times
/// proxies. Results equal those of `rank_homes`. Not thread safe.
class ranking_cache
{
public:
    /// Sets the live proxies; `live` must be sorted.
    void set_live(std::span<const std::string> live);

    /// The homes of `service`; valid until the next call.
    const std::vector<std::string>& homes_of(const std::string& service,
                                             std::size_t homes);

    /// Removes services that were not looked up since the last call.
    void forget_unused();

private:
    struct entry
    {
        std::size_t max_homes_ = 0;
        std::vector<std::string> homes_;
        bool used_ = false;
    };

    std::vector<std::string> live_;
    std::map<std::string, entry> entries_;
};

/// The share of `limit` for seat `rank` of `homes` seats; 0 if `rank` is out of
/// range. The shares of all seats add up to exactly `limit`.
std::int64_t seat_share(std::int64_t limit, std::int64_t rank,
                        std::int64_t homes);

} // namespace tanagerspan

#endif
