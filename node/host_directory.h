#ifndef TANAGERSPAN_NODE_HOST_DIRECTORY_H
#define TANAGERSPAN_NODE_HOST_DIRECTORY_H

// The live hosts of the fleet, from rows that each host keeps of itself.
//
// A host writes its row at its start and renews it now and then with the
// store's clock; a row that was not renewed for long counts no more, since
// hosts are replaced without a word. Shares of connections and homes depend
// on the list and nothing that must be right does, so it is read now and then
// instead of followed: with a feed every host would be told of each renewal.
//
// While the store is away nobody can renew, and nothing is read; rows count
// as old only after the store has answered for longer than a renewal takes.
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

class host_directory
{
public:
    struct options
    {
        std::string table_;
        fleet_host own_;
        /// The first lists follow a start closely: hosts start together.
        std::int64_t first_list_ms_ = 500;
        /// A new host has its share of the work within this. Each list has a
        /// price, and it is as long as the fleet is large.
        std::int64_t list_every_ms_ = 15'000;
        /// Writes to the store have a price and a rate.
        std::int64_t renew_every_ms_ = 20'000;
        /// Three renewals that did not come.
        std::int64_t stale_ms_ = 60'000;
    };
    using change_handler = std::function<void(const std::vector<fleet_host>&)>;

    /// `changed` gets the whole list whenever it differs from the last one.
    host_directory(boost::asio::io_context& loop, table_store& store,
                   options opts, change_handler changed);
    ~host_directory();

    void start();

    /// Takes this host out of the list; `done` when it is out or the store
    /// did not answer.
    void leave(std::function<void()> done);

private:
    void list();
    void on_list(const table_snapshot& got);
    void renew(std::int64_t store_now_ms);
    void schedule(std::int64_t after_ms);
    bool is_stale(const fleet_host_row& row, const table_snapshot& got) const;

    table_store& store_;
    options options_;
    change_handler changed_;
    boost::asio::steady_timer timer_;
    std::vector<fleet_host> live_;
    instant connected_since_ = never;
    instant renewed_ = never;
    std::int64_t next_list_ms_;
    bool told_ = false;
    bool leaving_ = false;
    std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
};

} // namespace tanagerspan

#endif
