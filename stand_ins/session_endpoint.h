#ifndef TANAGERSPAN_STAND_INS_SESSION_ENDPOINT_H
#define TANAGERSPAN_STAND_INS_SESSION_ENDPOINT_H

// A stand-in for one member of a database group, for tests: a server on
// loopback that speaks the session protocol of a codec, on the test's own
// event loop. It keeps what each connection has set, prepared and begun, and
// notes every statement that it ran with the state that it ran in, so that a
// test can hold what a proxy did against its promises.
//
//   session_endpoint member(loop, {.codec_ = &codec, .service_ = "s",
//                                  .id_ = "m1", .primary_ = true});
//   member.start();
//   member.answer_instead_ = [](const statement& s) {...};  // one fault

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include <utility>

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>

#include "state/session_messages.h"
#include "transport/byte_stream.h"

namespace tanagerspan
{

/// One statement as the member ran it.
struct ran_statement
{
    statement statement_;
    std::size_t connection_ = 0;
    std::uint64_t transaction_ = 0; ///< 0 outside of one
    std::map<std::string, std::string> values_;
    std::string shape_; ///< of the prepared statement, if one ran
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
    /// What a fault does to one statement.
    struct fault
    {
        std::optional<reply_error> error_{}; ///< answered, and not run
        bool silent_ = false;                ///< run, and never answered
        bool close_ = false;                 ///< run, and the connection ends
        std::int64_t delay_ms_ = 0;          ///< run, and answered late
    };

    session_endpoint(boost::asio::io_context& loop, options opts);
    ~session_endpoint();

    void start();
    /// Closes everything; connections are refused from then on.
    void stop();
    void close_connections();

    std::string address() const;

    options options_;
    std::function<std::optional<fault>(const statement&)> faults_;
    std::vector<ran_statement> ran_;
    std::vector<statement> asked_; ///< all, also those that did not run
    std::size_t opened_ = 0;
    std::size_t open_connections() const;

private:
    struct connection;

    void accept_next();
    void serve(const std::shared_ptr<connection>& from);
    void open(connection& from, const open_session& wanted);
    void run(connection& from, const statement& what);
    reply answer(connection& from, const statement& what);
    reply run_work(connection& from, const statement& what);

    boost::asio::io_context& loop_;
    boost::asio::ip::tcp::acceptor acceptor_;
    std::vector<std::shared_ptr<connection>> connections_;
    std::uint64_t next_transaction_ = 1;
};

} // namespace tanagerspan

#endif
