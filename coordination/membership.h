#ifndef TANAGERSPAN_COORDINATION_MEMBERSHIP_H
#define TANAGERSPAN_COORDINATION_MEMBERSHIP_H

// One proxy's view of the other proxies.
//
// The platform's list of hosts lags, so it only says whom to talk to first.
// What counts is what peers see: each period a proxy pings one peer, in a
// seeded round; news about members rides on the pings. A ping that is not
// answered makes its peer suspect, and a suspect that does not refute it in
// `suspect_ms` is dead. Being dead in some proxy's view costs efficiency
// only: no limit and no promise rests on views agreeing.
//
// Each process start has an incarnation. News of a higher incarnation wins;
// within one incarnation, a higher count of refutations; within that, the
// graver state. A proxy that hears itself suspected refutes it by raising its
// count, and one that meets a higher incarnation under its own name (its
// host's clock went back) moves past it.
//
// State is one record a member; a message carries at most `max_news` records.
// Control thread only.

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

/// What is known of one proxy, as it travels. States: 0 alive, 1 draining,
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
        std::int64_t period_ms_ = 1000;
        std::int64_t suspect_ms_ = 3000;
        std::size_t max_news_ = 8;
    };

    membership(options opts, instant now);

    /// The peer to ping now, if it is time. Also buries old suspects.
    std::optional<peer_record> tick(instant now);

    /// News to put on a message; each item goes out a bounded number of times.
    std::vector<peer_record> take_news();

    void on_news(const std::vector<peer_record>& news, instant now);
    void on_ping_answered(const std::string& peer, instant now);
    void on_ping_failed(const std::string& peer, instant now);

    /// A host of the platform's list that peers have not spoken of yet.
    void on_listed(const std::string& name, const std::string& address,
                   bool leaving, instant now);

    /// Tells all that this proxy takes no new work.
    void start_draining();

    /// Proxies that may be homes, this one too unless it drains; sorted.
    std::vector<std::string> live() const;

    const peer_record& self() const
    {
        return options_.self_;
    }
    const std::map<std::string, peer_record>& records() const
    {
        return records_;
    }
    bool take_changed()
    {
        return std::exchange(changed_, false);
    }

private:
    void queue_news(const peer_record& record);
    void refute(const peer_record& heard);

    options options_;
    std::map<std::string, peer_record> records_;
    std::map<std::string, instant> suspected_since_;
    std::map<std::string, int> sends_left_; // times still to be sent
    std::vector<std::string> ping_round_;
    std::mt19937_64 random_;
    instant next_ping_;
    bool changed_ = true;
};

} // namespace tanagerspan

#endif
