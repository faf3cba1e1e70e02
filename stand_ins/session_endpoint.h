#ifndef TANAGERSPAN_STAND_INS_SESSION_ENDPOINT_H
#define TANAGERSPAN_STAND_INS_SESSION_ENDPOINT_H

// Stand-in for one endpoint of a database group, for tests: a server on
// loopback that speaks the session protocol of a codec, on the test's own event
// loop. It keeps the values, prepared statements and transaction of each
// connection and records every executed statement with that state, so that a
// test can check the statements that a proxy sent.
//
//   session_endpoint member(loop, {.codec_ = &codec, .service_ = "s",
//                                  .id_ = "m1", .primary_ = true});
//   member.start();
//   member.faults_ = [](const statement& s) {...};  // injects faults

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include <utility>

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>

#include "state/session_messages.h"
#include "transport/byte_stream.h"

namespace tanagerspan
{

/// One executed statement, with the session state that it ran in.
struct ran_statement
{
    statement statement_;
    std::size_t connection_ = 0;
    std::string user_;              ///< for whom the connection was opened
    std::uint64_t transaction_ = 0; ///< 0 outside a transaction
    std::map<std::string, std::string> values_;
    std::string shape_; ///< of the prepared statement, if any
};

class session_endpoint
{
public:
    struct options
    {
        const session_codec* codec_ = nullptr;
        std::string service_;
        std::string id_;
        bool primary_ = false;
        log_position position_{1, 1};
        std::size_t max_connections_ = 100;
    };
    /// Fault injected into one statement.
    struct fault
    {
        std::optional<reply_error> error_{}; ///< reply instead of running it
        bool silent_ = false;                ///< run, but send no reply
        bool close_ = false;                 ///< run, then close the connection
        std::int64_t delay_ms_ = 0;          ///< run, then delay the reply
    };

    session_endpoint(boost::asio::io_context& loop, options opts);
    ~session_endpoint();

    void start();
    /// Closes the listener and all connections; later connects are refused.
    void stop();
    void close_connections();

    std::string address() const;

    options options_;
    std::function<std::optional<fault>(const statement&)> faults_;
    /// Proxies that get no answer, as if a network cut separated them.
    std::set<std::string> silent_for_;
    std::vector<ran_statement> ran_;
    std::vector<statement> asked_; ///< all received, run or not
    std::size_t opened_ = 0;
    /// The largest number of connections seen when a session was opened.
    std::size_t most_connections_ = 0;
    /// If set, all bytes received are appended to it.
    std::string* received_ = nullptr;
    std::size_t open_connections() const;

private:
    struct connection;

    void accept_next();
    void serve(const std::shared_ptr<connection>& client);
    void open(connection& client, const open_session& wanted);
    void run(connection& client, const statement& what);
    reply status(std::uint64_t paused_by_term) const;
    reply answer(connection& client, const statement& what);
    reply execute_statement(connection& client, const statement& what);

    boost::asio::io_context& loop_;
    boost::asio::ip::tcp::acceptor acceptor_;
    std::vector<std::shared_ptr<connection>> connections_;
    std::uint64_t next_transaction_ = 1;
};

} // namespace tanagerspan

#endif
