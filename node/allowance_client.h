#ifndef TANAGERSPAN_NODE_ALLOWANCE_CLIENT_H
#define TANAGERSPAN_NODE_ALLOWANCE_CLIENT_H

// Obtains tokens for the operations of client accounts on this host from the
// holders of the allowance slices, and lets operations wait for them.
//
//   if (client.try_spend(account, now))
//       run();
//   else
//       client.wait(account, now, longest_wait_ms, [](bool granted) {...});
//
// Operations that arrive while a request is under way share the next one. A
// slice is asked at the host that held it last; if that one does not answer or
// is not the holder, at the next one of the slice's ranking. An account's
// tokens are requested from one slice and, where that one has none, from the
// others. The first slice differs between hosts and accounts, to spread the
// load.
//
// An operation that no slice grants a token in time is refused: at once, if the
// operations before it take all tokens that accrue until its limit.
//
// Not thread safe: use on the traffic thread only.

#include <array>
#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <span>
#include <string>
#include <vector>

#include "coordination/allowance_balance.h"
#include "coordination/allowance_bucket.h"
#include "node/allowance_server.h"
#include "node/home_link.h"

namespace tanagerspan
{

class allowance_client
{
public:
    struct options
    {
        fleet_host own_;
        allowance_balance::options balance_{};
        /// A holder that has not answered after this time is not asked again
        /// for a while: many round trips between data centres.
        std::int64_t answer_timeout_ms_ = 150;
        /// Pause before a host that did not answer is asked again.
        std::int64_t retry_pause_ms_ = 100;
    };
    /// Receives whether the operation got a token. Called later, never from
    /// within `wait`.
    using done_handler = std::function<void(bool)>;

    /// `own_server` answers for the slices that this host holds.
    allowance_client(boost::asio::io_context& loop, options opts,
                     home_pool& pool, allowance_server& own_server);
    ~allowance_client();

    void set_routes(route_table_ptr routes);
    void set_hosts(std::span<const fleet_host> live);

    /// Spends a token for an operation that arrived now. Returns true at once
    /// for accounts without a limit. Returns false if there is no token.
    bool try_spend(const std::string& account, instant now);

    /// Waits for a token for the operation for which `try_spend` returned
    /// false.
    void wait(const std::string& account, instant now,
              std::int64_t longest_wait_ms, done_handler done);

    /// Applies the timeouts and requests tokens. Call it every few tens of
    /// milliseconds.
    void tick(instant now);

    std::uint64_t spent() const
    {
        return spent_;
    }
    std::uint64_t refused() const
    {
        return refused_;
    }
    std::uint64_t requests() const
    {
        return requests_;
    }

private:
    struct waiting_operation
    {
        instant until_;
        done_handler done_;
    };
    struct account_state
    {
        allowance_balance balance_;
        std::size_t first_slice_ = 0;
        std::deque<waiting_operation> waiting_;
        /// A slice has no token for the account before this time.
        std::array<instant, allowance_slices> empty_until_{};
    };
    struct slice_state
    {
        std::vector<fleet_host> ranking_; ///< who is asked, in this order
        std::size_t next_ = 0;            ///< index into `ranking_`
        std::optional<fleet_host> hint_{};
        allowance_request request_{}; ///< under way, if `number_` is not 0
        std::uint64_t number_ = 0;
        instant sent_at_ = never;
        instant paused_until_ = never;
    };

    /// The limits of an account; null if it has none.
    const account_limits* limits_of(const std::string& account) const;
    account_state& state_of(const std::string& account);
    void request_tokens(instant now);
    /// The first slice that may have tokens for the account.
    std::optional<std::size_t> choose_slice(const account_state& account,
                                            instant now) const;
    void send(std::size_t slice, std::map<std::string, std::int64_t> wanted,
              instant now);
    void on_reply(std::size_t slice, std::uint64_t number,
                  const result<allowance_reply>& got);
    void end_request(slice_state& state, const allowance_reply& got,
                     std::size_t slice, instant now);
    void try_next_host(slice_state& state, instant now);
    void serve_waiting(const std::string& account, account_state& state,
                       instant now);
    /// Serves waiting operations, requests tokens and calls the handlers of
    /// the operations that finished, on the next turn of the event loop.
    void schedule_dispatch();
    void dispatch(instant now);

    boost::asio::io_context& loop_;
    options options_;
    home_pool& pool_;
    allowance_server& own_server_;
    route_table_ptr routes_;
    std::map<std::string, account_state> accounts_;
    std::array<slice_state, allowance_slices> slices_;
    std::vector<std::function<void()>> finished_;
    bool dispatch_scheduled_ = false;
    std::uint64_t next_number_ = 1;
    std::uint64_t spent_ = 0;
    std::uint64_t refused_ = 0;
    std::uint64_t requests_ = 0;
    std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
};

} // namespace tanagerspan

#endif
