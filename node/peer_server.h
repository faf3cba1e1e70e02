#ifndef TANAGERSPAN_NODE_PEER_SERVER_H
#define TANAGERSPAN_NODE_PEER_SERVER_H

// The server side of a home: executes statements that other proxies send, over
// this proxy's own connections to endpoints, and returns the outcomes. The
// client side is `home_link`.
//
// A transaction is kept under the id of the run that began it until it is
// committed or rolled back, or its link ends. When a link ends, its open
// transactions are rolled back and its runs are abandoned. A statement of a
// transaction that is no longer kept is answered as aborted.
//
// It also passes commands of takeovers on to endpoints that the other proxy
// does not reach, and hands the watches of hosts that use this one as a relay
// to the control side.
//
// Not thread safe: use on the traffic thread only.

#include <cstdint>
#include <functional>
#include <list>
#include <memory>
#include <string>

#include "node/allowance_server.h"
#include "node/endpoint_commands.h"
#include "node/endpoint_group.h"
#include "protocol/relay_messages.h"

namespace tanagerspan
{

class peer_server
{
public:
    /// The endpoint group of a service; null if this proxy does not know the
    /// service.
    using group_lookup =
        std::function<std::shared_ptr<endpoint_group>(const std::string&)>;

    /// Answers a watch of another proxy, for which this one is a relay. The
    /// handler must be called on the traffic thread.
    using relay_service = std::function<void(
        const relay_request&, std::function<void(const relay_reply&)>)>;

    /// `commands`: how commands are sent to endpoints. `allowances` answers
    /// requests for tokens.
    peer_server(boost::asio::io_context& loop,
                endpoint_commands::options commands, group_lookup groups,
                allowance_server& allowances);
    ~peer_server();

    /// Starts listening on `address`. Errors: unavailable, malformed.
    result<void> start(const std::string& address);

    /// Without it, watches of other proxies are answered as unavailable.
    void set_relay_service(relay_service service)
    {
        relay_service_ = std::move(service);
    }

    /// Applies the timeouts of runs. Call it every few tens of milliseconds.
    void tick(instant now);

    /// Tells the other proxies to send no new work. Statements that arrive
    /// all the same are executed.
    void announce_leaving();
    /// Rolls back the transactions of which no statement is running.
    void roll_back_transactions();

    /// Whether there are neither runs nor open transactions.
    bool is_idle() const;
    /// The number of runs that were received.
    std::uint64_t runs() const
    {
        return runs_;
    }

private:
    struct peer;

    void accept_next();

    boost::asio::io_context& loop_;
    endpoint_commands::options command_options_;
    group_lookup groups_;
    allowance_server& allowances_;
    relay_service relay_service_;
    boost::asio::ip::tcp::acceptor acceptor_;
    std::list<std::shared_ptr<peer>> peers_;
    std::uint64_t runs_ = 0;
    bool leaving_ = false;
    std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
};

} // namespace tanagerspan

#endif
