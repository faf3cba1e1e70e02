#ifndef TANAGERSPAN_TESTING_FAKE_FLEET_H
#define TANAGERSPAN_TESTING_FAKE_FLEET_H

// Membership and settings gossip of many proxies on virtual time, with outages
// of the table, lost messages and network partitions.

#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "coordination/membership.h"
#include "coordination/settings_propagation.h"
#include "stand_ins/table_state.h"
#include "testing/event_loop.h"

namespace tanagerspan
{

class fake_fleet
{
public:
    struct options
    {
        std::size_t proxies_ = 8;
        std::uint64_t seed_ = 1;
        double one_way_ms_ = 1.0;
        double loss_ = 0.0;
        std::int64_t period_ms_ = 1000;
    };

    fake_fleet(event_loop& loop, options opts);

    /// Writes a settings change to the table and hands the accepted version to
    /// one proxy, as if an operator had made the change there.
    settings_branch accept_change(std::size_t proxy, const std::string& team);

    void kill(std::size_t proxy);
    /// Restarts a proxy with the same name and address and empty state.
    void restart(std::size_t proxy);
    /// Partitions the network between the proxies below `first_of_second_side`
    /// and the others; nullopt heals it.
    void set_partition(std::optional<std::size_t> first_of_second_side)
    {
        partition_border_ = first_of_second_side;
    }
    void set_table_down(bool down)
    {
        table_down_ = down;
    }

    /// The time when all running proxies first held this version or a later
    /// one.
    std::optional<instant> in_force_since(const settings_branch& branch) const;

    bool is_running(std::size_t proxy) const
    {
        return nodes_[proxy].running_;
    }
    const settings_propagation& spread(std::size_t proxy) const
    {
        return *nodes_[proxy].spread_;
    }
    const membership& peers(std::size_t proxy) const
    {
        return *nodes_[proxy].membership_;
    }
    std::uint64_t table_reads() const
    {
        return table_reads_;
    }
    std::uint64_t messages() const
    {
        return messages_;
    }
    /// The number of times that a proxy held an older version than before.
    int reverts() const
    {
        return reverts_;
    }

private:
    struct node
    {
        std::unique_ptr<membership> membership_;
        std::unique_ptr<settings_propagation> spread_;
        std::uint64_t revision_ = 0;
        std::uint64_t incarnation_ = 0;
        bool running_ = true;
        std::map<std::string, std::uint64_t> highest_version_;
    };
    struct message
    {
        std::vector<peer_record> news_;
        std::optional<settings_tree::digest> digests_;
        std::vector<settings_branch> branches_;
    };

    void start_proxy(std::size_t proxy);
    void tick(std::size_t proxy, std::uint64_t incarnation);
    void ping(std::size_t from, const peer_record& to);
    message receive(std::size_t at, const message& received);
    bool is_delivered(std::size_t from, std::size_t to);
    std::size_t index_of(const std::string& name) const;
    void read_table(std::size_t proxy);
    void send_push(std::size_t proxy);
    void check_versions(std::size_t proxy);
    static std::string name_of(std::size_t proxy)
    {
        return "p" + std::to_string(proxy);
    }

    event_loop& loop_;
    options options_;
    std::vector<node> nodes_;
    table_state table_;
    std::map<std::string, std::map<std::uint64_t, settings_branch>> accepted_;
    std::map<std::pair<std::string, std::uint64_t>, instant> in_force_since_;
    std::optional<std::size_t> partition_border_;
    bool table_down_ = false;
    std::uint64_t table_reads_ = 0;
    std::uint64_t messages_ = 0;
    int reverts_ = 0;
};

} // namespace tanagerspan

#endif
