#ifndef TANAGERSPAN_NODE_HOST_DIRECTORY_H
#define TANAGERSPAN_NODE_HOST_DIRECTORY_H

// The list of the fleet's live hosts, read from a table in which each host
// maintains its own row.
//
// A host writes its row at startup and renews it periodically with a timestamp
// of the store's clock. A row that was not renewed for `stale_after_ms_` is
// ignored, since hosts are replaced without deregistering. Only shares of
// connections and the choice of homes depend on the list, and neither affects
// correctness. The table is therefore polled and not watched: a watch would
// wake every host at each renewal.
//
// While the store is unavailable no host can renew its row. Rows count as
// stale only after the store has been reachable for two renewal periods. After
// a restore of the store rows are missing until their hosts have renewed them;
// hosts that were known before count as live meanwhile.
//
// Control thread only.

#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <vector>

#include <boost/asio/steady_timer.hpp>

#include "protocol/table_store.h"
#include "state/fleet_host.h"
#include "state/instant.h"
#include "transport/socket_options.h"

namespace tanagerspan
{

/// Maintains this host's row and polls the rows of the other hosts.
class host_directory
{
public:
    struct options
    {
        std::string table_;
        fleet_host own_;
        /// Delay before the second list call and after a failed one. Hosts
        /// start together, so the first calls follow each other closely; the
        /// delay then grows up to `list_period_ms_`.
        std::int64_t initial_list_delay_ms_ = 500;
        /// Longest time until a new host gets its share of the work. Each list
        /// call has a cost, and its answer grows with the fleet.
        std::int64_t list_period_ms_ = 15'000;
        /// Writes to the store have a cost and a rate limit.
        std::int64_t renew_period_ms_ = 20'000;
        /// Age at which a row is stale: three missed renewals.
        std::int64_t stale_after_ms_ = 60'000;
        /// How long hosts whose rows a restore lost count as live: until each
        /// has seen the restore and renewed its row.
        std::int64_t keep_known_ms_ = 5000;
    };
    using change_handler = std::function<void(const std::vector<fleet_host>&)>;

    /// Calls `changed` with the whole list, sorted by name, after the first
    /// list call and whenever the list differs from the last one.
    host_directory(boost::asio::io_context& loop, table_store& store,
                   options opts, change_handler changed);
    ~host_directory();

    /// Starts the periodic list calls and renewals.
    void start();

    /// Renews this host's row, which the store may have lost in a restore.
    void on_restored();

    /// Removes this host's row. Calls `done` once the row is removed or the
    /// store call has failed.
    void leave(std::function<void()> done);

private:
    void list();
    void on_list(const table_snapshot& snapshot);
    void keep_known_hosts(std::vector<fleet_host>& live) const;
    void renew(std::int64_t store_now_ms);
    void schedule(std::int64_t after_ms);
    bool is_stale(const fleet_host_row& row,
                  const table_snapshot& snapshot) const;

    table_store& store_;
    options options_;
    change_handler changed_;
    boost::asio::steady_timer timer_;
    std::vector<fleet_host> live_;
    instant connected_since_ = never;
    instant renewed_at_ = never;
    instant keep_known_until_ = never;
    std::int64_t next_list_delay_ms_;
    bool reported_ = false;
    bool leaving_ = false;
    std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
};

} // namespace tanagerspan

#endif
