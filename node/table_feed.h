#ifndef TANAGERSPAN_NODE_TABLE_FEED_H
#define TANAGERSPAN_NODE_TABLE_FEED_H

// Keeps a copy of one table of the store up to date.
//
// The table is listed once, then its changes are awaited from the listed
// version on. Where the store no longer has that history the table is listed
// again: rows that are gone from the list count as removed. While the store
// does not answer, the copy stays as it is, and attempts become rarer. After a
// failure the store is asked for an answer at once: a question that it may hold
// back tells only much later that it was never received.
//
// Control thread only.

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <random>
#include <string>

#include <boost/asio/steady_timer.hpp>

#include "protocol/table_store.h"
#include "state/instant.h"
#include "transport/socket_options.h"

namespace tanagerspan
{

class table_feed
{
public:
    struct options
    {
        std::string table_;
        /// How long the store may hold an answer back. A connection that went
        /// silent is noticed by its keep-alive probes, not by this.
        std::int64_t wait_ms_ = 28'000;
        /// After changes the next ones are asked for this much later; in a
        /// series of changes twice as late each time, up to the second figure.
        std::int64_t gap_ms_ = 0;
        std::int64_t longest_gap_ms_ = 0;
        std::int64_t first_pause_ms_ = 50;    ///< after a failed call
        std::int64_t longest_pause_ms_ = 800; ///< settings are in force in 3 s
        std::uint64_t seed_ = 1;
    };
    /// The whole copy, after each change.
    using change_handler =
        std::function<void(const std::map<std::string, table_row>&)>;

    table_feed(boost::asio::io_context& loop, table_store& store, options opts,
               change_handler changed);
    ~table_feed();

    void start();

    /// The store answered the last call.
    bool connected() const
    {
        return connected_;
    }
    /// Since when the store answers without a failure between.
    instant connected_since() const
    {
        return connected_since_;
    }
    const std::map<std::string, table_row>& rows() const
    {
        return rows_;
    }

private:
    void list();
    void watch(std::int64_t wait_ms);
    void watch_after_gap();
    void on_failure(const failure& why);
    void on_connected();

    boost::asio::io_context& loop_;
    table_store& store_;
    options options_;
    change_handler changed_;
    boost::asio::steady_timer timer_;
    std::minstd_rand random_;
    std::map<std::string, table_row> rows_;
    std::int64_t version_ = 0;
    std::int64_t pause_ms_;
    std::int64_t next_gap_ms_;
    instant watched_ = never; ///< when the last watch was asked
    bool listed_ = false;
    bool connected_ = false;
    instant connected_since_ = never;
    std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
};

} // namespace tanagerspan

#endif
