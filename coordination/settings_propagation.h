#ifndef TANAGERSPAN_COORDINATION_SETTINGS_PROPAGATION_H
#define TANAGERSPAN_COORDINATION_SETTINGS_PROPAGATION_H

// Propagates accepted settings changes to every proxy.
//
//  * The platform's table accepts a change by compare-and-set on the branch's
//    row.
//  * The proxy that submitted the change sends it to `fanout_` peers at once,
//    and so does each proxy that receives it for the first time.
//  * Every ping between proxies carries the digests of both settings trees, and
//    branches in buckets that differ are sent. This repairs lost messages.
//  * Proxies rarely read the table: each waits about as many seconds between
//    reads as there are proxies, divided by `fleet_reads_per_s_`, so the whole
//    fleet reads about `fleet_reads_per_s_` times a second.
//
// A proxy is ready once it has the settings from the table or a peer, and knows
// how long ago it last received an answer from either. A branch never returns
// to an earlier version: see state/settings_tree.h. Control thread only.

#include <cstdint>
#include <deque>
#include <random>
#include <string>
#include <vector>

#include "state/instant.h"
#include "state/settings_tree.h"

namespace tanagerspan
{

/// The settings tree of one proxy and the changes to forward.
class settings_propagation
{
public:
    struct options
    {
        std::uint64_t seed_ = 1;
        std::size_t fanout_ = 3; ///< peers that a change is sent to
        double fleet_reads_per_s_ = 2.0;
        std::int64_t min_read_interval_ms_ = 1000;
        std::size_t max_branches_ = 32; ///< in one message
    };

    /// Branches to send to some peers now.
    struct push
    {
        std::vector<std::string> peers_;
        std::vector<settings_branch> branches_;
    };

    settings_propagation(options opts, instant now);

    /// Whether to read the table's changes now.
    bool should_read(std::size_t live_proxies, instant now);

    /// Merges the table's changes after the revision that was last read.
    void on_table_read(const std::vector<settings_branch>& changed,
                       instant now);

    /// Merges branches from a peer; those that are new are forwarded.
    void on_branches(const std::vector<settings_branch>& branches, instant now);

    /// A peer answered a ping, which compares the digests of both trees.
    void on_peer_answered(instant now)
    {
        last_heard_ = now;
    }

    /// The branches to forward now, to random peers of `live`; empty if there
    /// is nothing to forward.
    push take_push(const std::vector<std::string>& live);

    /// The branches to send to a peer with these digests, at most
    /// `max_branches_`.
    std::vector<settings_branch>
    branches_to_send(const settings_tree::digest& theirs) const;

    const settings_tree& tree() const
    {
        return tree_;
    }
    /// True once the table or a peer has answered.
    bool ready() const
    {
        return last_heard_ != never;
    }
    /// Time since the last answer of the table or a peer, in ms.
    std::int64_t age_ms(instant now) const
    {
        return now - last_heard_;
    }
    /// Whether the tree changed since the last call.
    bool take_changed()
    {
        return std::exchange(changed_, false);
    }

private:
    void merge(const std::vector<settings_branch>& branches);

    options options_;
    settings_tree tree_;
    std::deque<settings_branch> to_forward_; // in order of arrival
    std::mt19937_64 random_;
    instant next_read_;
    instant last_heard_ = never;
    bool changed_ = false;
};

} // namespace tanagerspan

#endif
