#ifndef TANAGERSPAN_TRANSPORT_SOCKET_OPTIONS_H
#define TANAGERSPAN_TRANSPORT_SOCKET_OPTIONS_H

// Options that each connection gets, so that a peer that went silent is
// noticed without traffic: unacknowledged bytes and keep-alive probes both
// have a bound.

#include <string_view>

#include <utility> // Boost.Asio 1.74 under C++20 relies on it

#include <boost/asio/ip/tcp.hpp>

#include "state/failure.h"

namespace tanagerspan
{

using tcp_socket = boost::asio::ip::tcp::socket;

/// What the system said; never crosses a module's border.
using io_error = boost::system::error_code;

struct silence_bounds
{
    /// Bytes sent and not acknowledged for this long end the connection: over
    /// ten times a round trip between data centres with one lost packet.
    int unacknowledged_ms_ = 2500;
    int idle_s_ = 1;     ///< before the first keep-alive probe
    int interval_s_ = 1; ///< between probes
    int probes_ = 2;     ///< unanswered ones that end the connection
};

/// Sets what can be set; a socket without the options still works.
void set_silence_bounds(tcp_socket& socket, const silence_bounds& bounds);

/// Makes `acceptor` listen on IP:PORT. Errors: malformed, unavailable.
result<void> listen_on(boost::asio::ip::tcp::acceptor& acceptor,
                       std::string_view address);

/// IP:PORT. Errors: malformed.
result<boost::asio::ip::tcp::endpoint> parse_endpoint(std::string_view text);

} // namespace tanagerspan

#endif
