#ifndef TANAGERSPAN_NODE_ALLOWANCE_LEASES_H
#define TANAGERSPAN_NODE_ALLOWANCE_LEASES_H

// Performs the store calls of the leases of allowance slices on one host; see
// coordination/allowance_lease.h for the decisions.
//
// The rows are not watched: renewals would wake every host. A host reads them
// when another one asks it for tokens of a slice that it does not hold. The
// first hosts of a slice's ranking are asked first, so one of them claims the
// lease soon after its holder failed, and hosts that nobody asks make no calls.
//
// Control thread only.

#include <array>
#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>

#include <boost/asio/steady_timer.hpp>

#include "coordination/allowance_bucket.h"
#include "coordination/allowance_lease.h"
#include "protocol/table_store.h"
#include "transport/socket_options.h"

namespace tanagerspan
{

/// What a host knows about the lease of a slice.
struct allowance_lease_state
{
    std::size_t slice_ = 0;
    /// This host may grant until this time; `never` if it is not the holder.
    instant valid_until_ = never;
    std::optional<fleet_host> other_holder_{};
};

class allowance_leases
{
public:
    struct options
    {
        fleet_host own_;
        std::string table_;
        /// The interval of renewal checks while this host holds a lease.
        std::int64_t tick_ms_ = 200;
        /// The rows are read at most at this interval.
        std::int64_t read_interval_ms_ = 300;
    };
    using change_handler = std::function<void(const allowance_lease_state&)>;

    /// Calls `changed` after each reading and each write of a row.
    allowance_leases(boost::asio::io_context& loop, table_store& store,
                     options opts, change_handler changed);
    ~allowance_leases();

    /// Another host asked for tokens of a slice that this host does not hold.
    void check(std::size_t slice);

    /// Gives up all leases, so that other hosts can claim them at once.
    void release_all();

private:
    struct slice_state
    {
        allowance_lease lease_;
        bool wanted_ = false; ///< claim it if it is free
        bool held_ = false;
    };

    static std::string key_of(std::size_t slice);
    void read();
    void on_read(const table_snapshot& snapshot);
    void write_due();
    void write(std::size_t slice, const allowance_lease_row& row);
    void on_written(std::size_t slice, const result<transaction_answer>& got);
    void publish(std::size_t slice);
    void schedule_tick();

    table_store& store_;
    options options_;
    change_handler changed_;
    boost::asio::steady_timer timer_;
    std::vector<slice_state> slices_;
    bool reading_ = false;
    bool ticking_ = false;
    instant read_at_ = never;
    std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
};

} // namespace tanagerspan

#endif
