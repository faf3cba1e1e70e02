#ifndef TANAGERSPAN_TRANSPORT_SOCKET_OPTIONS_H
#define TANAGERSPAN_TRANSPORT_SOCKET_OPTIONS_H

// Socket options of all connections. They detect an unreachable peer even
// without traffic: unacknowledged bytes and unanswered keep-alive probes end a
// connection.

#include <string_view>

#include <utility> // Boost.Asio 1.74 under C++20 relies on it

#include <boost/asio/ip/tcp.hpp>

#include "state/failure.h"

namespace tanagerspan
{

using tcp_socket = boost::asio::ip::tcp::socket;

/// Error of a system call; interfaces convert it to `failure`.
using io_error = boost::system::error_code;

struct tcp_timeouts
{
    /// Sent bytes that are unacknowledged for this time end the connection.
    /// This is over ten times a round trip between data centres in which one
    /// packet is lost.
    int unacknowledged_ms_ = 2500;
    int idle_s_ = 1;     ///< idle time before the first keep-alive probe
    int interval_s_ = 1; ///< time between probes
    int probes_ = 2;     ///< unanswered probes that end the connection
};

/// Sets the options. Errors are ignored, since a socket works without them.
void set_tcp_timeouts(tcp_socket& socket, const tcp_timeouts& timeouts);

/// Makes `acceptor` listen on IP:PORT. Errors: malformed, unavailable.
result<void> listen_on(boost::asio::ip::tcp::acceptor& acceptor,
                       std::string_view address);

/// Parses IP:PORT. Errors: malformed.
result<boost::asio::ip::tcp::endpoint> parse_endpoint(std::string_view text);

} // namespace tanagerspan

#endif
