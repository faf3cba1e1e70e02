#include "transport/socket_options.h"

#include <charconv>

#include <netinet/tcp.h>

namespace tanagerspan
{
namespace
{

void set_tcp_option(int handle, int option, int value)
{
    setsockopt(handle, IPPROTO_TCP, option, &value, sizeof value);
}

} // namespace

void set_tcp_timeouts(tcp_socket& socket, const tcp_timeouts& timeouts)
{
    int handle = socket.native_handle();
    int on = 1;
    setsockopt(handle, SOL_SOCKET, SO_KEEPALIVE, &on, sizeof on);
    set_tcp_option(handle, TCP_NODELAY, on);
    set_tcp_option(handle, TCP_USER_TIMEOUT, timeouts.unacknowledged_ms_);
    set_tcp_option(handle, TCP_KEEPIDLE, timeouts.idle_s_);
    set_tcp_option(handle, TCP_KEEPINTVL, timeouts.interval_s_);
    set_tcp_option(handle, TCP_KEEPCNT, timeouts.probes_);
}

result<void> listen_on(boost::asio::ip::tcp::acceptor& acceptor,
                       std::string_view address)
{
    auto endpoint = parse_endpoint(address);
    if (!endpoint)
        return tl::unexpected(endpoint.error());
    io_error error;
    acceptor.open(endpoint->protocol(), error);
    acceptor.set_option(boost::asio::socket_base::reuse_address(true), error);
    acceptor.bind(*endpoint, error);
    if (!error)
        acceptor.listen(boost::asio::socket_base::max_listen_connections,
                        error);
    if (error)
        return fail(error_code::unavailable, "listen: " + error.message());
    return {};
}

result<boost::asio::ip::tcp::endpoint> parse_endpoint(std::string_view text)
{
    std::size_t colon = text.rfind(':');
    if (colon == std::string_view::npos)
        return fail(error_code::malformed, "address has no port");
    io_error error;
    auto ip = boost::asio::ip::make_address(std::string(text.substr(0, colon)),
                                            error);
    std::uint16_t port = 0;
    const char* end = text.data() + text.size();
    auto [parsed_to, code] =
        std::from_chars(text.data() + colon + 1, end, port);
    if (error || code != std::errc{} || parsed_to != end || port == 0)
        return fail(error_code::malformed, "address is not IP:PORT");
    return boost::asio::ip::tcp::endpoint(ip, port);
}

} // namespace tanagerspan
