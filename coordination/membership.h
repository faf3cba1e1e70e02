#ifndef TANAGERSPAN_COORDINATION_MEMBERSHIP_H
#define TANAGERSPAN_COORDINATION_MEMBERSHIP_H

// One proxy's view of the other proxies, kept by a gossip protocol.
//
// The platform's list of hosts is out of date at times, so it only provides
// the first addresses. The state of a proxy is what its peers observe: once a
// period each proxy pings one peer, in a random order that covers all peers,
// and pings carry news about members. A peer that does not answer becomes
// suspect, and a suspect that does not refute this within `suspect_ms_` is
// dead. A wrong state costs only efficiency: no limit and no guarantee depends
// on proxies having the same view.
//
// Each process start has an incarnation. Of two records the higher incarnation
// wins; at the same incarnation the higher count of refutations; at the same
// count the higher state. A proxy that receives news that it is suspect refutes
// it by raising its count. One that receives a higher incarnation under its own
// name (its host's clock was set back) takes a higher one.
//
// Memory: one record for each member. A message carries about `max_news_`
// records. Control thread only.

#include <cstdint>
#include <map>
#include <optional>
#include <random>
#include <string>
#include <vector>

#include "state/instant.h"
#include "state/record.h"

namespace tanagerspan
{

/// The record of one proxy, as sent to peers. States: 0 alive, 1 draining,
/// 2 suspect, 3 dead.
struct peer_record
{
    std::string name_;
    std::string address_; ///< IP:PORT for peers
    std::string data_centre_;
    std::uint64_t incarnation_ = 0;
    std::uint64_t refutations_ = 0;
    std::int64_t state_ = 0;

    bool operator==(const peer_record&) const = default;
};

constexpr auto fields_of(const peer_record*)
{
    return std::tuple{
        field{"name",
              &peer_record::name_,
              {.min_ = 1, .max_ = 64, .required_ = true}},
        field{"address", &peer_record::address_, {.max_ = 64}},
        field{"data_centre", &peer_record::data_centre_, {.max_ = 64}},
        field{"incarnation", &peer_record::incarnation_},
        field{"refutations", &peer_record::refutations_},
        field{"state", &peer_record::state_, {.min_ = 0, .max_ = 3}}};
}

/// The records of all known proxies and the gossip about them.
class membership
{
public:
    static constexpr std::int64_t alive = 0;
    static constexpr std::int64_t draining = 1;
    static constexpr std::int64_t suspect = 2;
    static constexpr std::int64_t dead = 3;

    struct options
    {
        peer_record self_{};
        std::uint64_t seed_ = 1;
        std::int64_t period_ms_ = 1000;  ///< between two pings
        std::int64_t suspect_ms_ = 3000; ///< from suspect to dead
        std::size_t max_news_ = 8;       ///< records in one message
    };

    membership(options opts, instant now);

    /// The peer to ping now, if a ping is due. Also declares suspects dead
    /// after `suspect_ms_` and removes the dead after a longer time.
    std::optional<peer_record> tick(instant now);

    /// The records to add to a message; each is sent a bounded number of times.
    std::vector<peer_record> take_news();

    /// Merges records received from a peer.
    void on_news(const std::vector<peer_record>& news, instant now);
    /// The peer answered a ping.
    void on_ping_answered(const std::string& peer, instant now);
    /// The peer did not answer a ping: it becomes suspect.
    void on_ping_failed(const std::string& peer, instant now);

    /// A host on the platform's list. Adds it if it is unknown; marks it as
    /// draining if it is leaving.
    void on_listed(const std::string& name, const std::string& address,
                   bool leaving, instant now);

    /// Announces that this proxy takes no new work.
    void start_draining();

    /// The names of the proxies that can be homes, sorted; with this one unless
    /// it drains.
    std::vector<std::string> live() const;

    const peer_record& self() const
    {
        return options_.self_;
    }
    const std::map<std::string, peer_record>& records() const
    {
        return records_;
    }
    /// Whether anything changed since the last call.
    bool take_changed()
    {
        return std::exchange(changed_, false);
    }

private:
    void queue_news(const peer_record& record);
    void refute(const peer_record& received);

    options options_;
    std::map<std::string, peer_record> records_;
    std::map<std::string, instant> suspected_since_;
    std::map<std::string, int> sends_left_; // messages that still carry it
    std::vector<std::string> ping_round_;
    std::mt19937_64 random_;
    instant next_ping_;
    bool changed_ = true;
};

} // namespace tanagerspan

#endif
