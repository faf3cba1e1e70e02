#ifndef TANAGERSPAN_NODE_PEER_PORT_H
#define TANAGERSPAN_NODE_PEER_PORT_H

// The side of a home: takes statements of other proxies, runs them over its
// own connections and sends the outcomes back. The other end is home_link.
//
// A transaction is kept under the id of the run that began it until it ends,
// is rolled back, or its link ends: what a proxy that is gone left open is
// rolled back, and its runs are abandoned. A statement of a transaction that
// is not kept any more is answered as aborted.
//
// Traffic thread only.

#include <cstdint>
#include <functional>
#include <list>
#include <memory>
#include <string>

#include "node/endpoint_group.h"

namespace tanagerspan
{

class peer_port
{
public:
    /// The connections to a service; null where this proxy has none.
    using group_source =
        std::function<std::shared_ptr<endpoint_group>(const std::string&)>;

    peer_port(boost::asio::io_context& loop, group_source groups);
    ~peer_port();

    /// Listens. Errors: unavailable, malformed.
    result<void> start(const std::string& address);

    /// Time limits of runs.
    void tick(instant now);

    /// Tells the other proxies to send nothing new; what comes is served.
    void leave();
    /// Rolls back transactions that are not at work.
    void end_transactions();

    /// Neither runs nor transactions are open.
    bool is_quiet() const;
    std::uint64_t runs() const
    {
        return runs_;
    }

private:
    struct peer;

    void accept_next();

    group_source groups_;
    boost::asio::ip::tcp::acceptor acceptor_;
    std::list<std::shared_ptr<peer>> peers_;
    std::uint64_t runs_ = 0;
    bool leaving_ = false;
    std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
};

} // namespace tanagerspan

#endif
