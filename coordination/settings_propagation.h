#ifndef TANAGERSPAN_COORDINATION_SETTINGS_PROPAGATION_H
#define TANAGERSPAN_COORDINATION_SETTINGS_PROPAGATION_H

// How an accepted change of settings reaches every proxy.
//
//  * The platform's table accepts it, by compare-and-set on the branch's row.
//  * The proxy that had it accepted passes it on at once to `fanout` peers,
//    and so does each that hears it for the first time.
//  * Every ping between proxies carries the digests of both trees; branches
//    in buckets that differ travel, so a lost message is made good.
//  * Few proxies read the table: each waits about as many seconds between
//    reads as there are proxies, so the fleet together reads about
//    `fleet_reads_per_s` times a second.
//
// A proxy is ready once it has the table's or a peer's tree, and always knows
// how long ago it last heard either. Nothing reverts: see
// state/settings_tree.h. Control thread only.

#include <cstdint>
#include <deque>
#include <random>
#include <string>
#include <vector>

#include "state/instant.h"
#include "state/settings_tree.h"

namespace tanagerspan
{

class settings_propagation
{
public:
    struct options
    {
        std::uint64_t seed_ = 1;
        std::size_t fanout_ = 3;
        double fleet_reads_per_s_ = 2.0;
        std::int64_t min_read_interval_ms_ = 1000;
        std::size_t max_branches_ = 32; ///< in one message
    };

    /// Branches to pass on to some peers at once.
    struct push
    {
        std::vector<std::string> peers_;
        std::vector<settings_branch> branches_;
    };

    settings_propagation(options opts, instant now);

    /// Whether to read the table's changes now.
    bool should_read(std::size_t live_proxies, instant now);

    /// What the table holds past the revision last read.
    void on_table_read(const std::vector<settings_branch>& changed,
                       instant now);

    /// Branches from a peer. Newly learnt ones are passed on.
    void on_branches(const std::vector<settings_branch>& branches, instant now);

    /// A peer answered, so what it holds is known to differ or not.
    void on_peer_answered(instant now)
    {
        last_heard_ = now;
    }

    /// A push to make now, to peers drawn from `live`; empty if none is due.
    push take_push(const std::vector<std::string>& live);

    /// What to send to a peer whose digests are these.
    std::vector<settings_branch>
    branches_to_send(const settings_tree::digest& theirs) const;

    const settings_tree& tree() const
    {
        return tree_;
    }
    bool ready() const
    {
        return last_heard_ != never;
    }
    /// How long ago the table or a peer was heard, in ms.
    std::int64_t age_ms(instant now) const
    {
        return now - last_heard_;
    }
    bool take_changed()
    {
        return std::exchange(changed_, false);
    }

private:
    void merge(const std::vector<settings_branch>& branches);

    options options_;
    settings_tree tree_;
    std::deque<settings_branch> to_forward_; // to be passed on
    std::mt19937_64 random_;
    instant next_read_;
    instant last_heard_ = never;
    bool changed_ = false;
};

} // namespace tanagerspan

#endif
