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

void set_silence_bounds(tcp_socket& socket, const silence_bounds& bounds)
{
    int handle = socket.native_handle();
    int on = 1;
    setsockopt(handle, SOL_SOCKET, SO_KEEPALIVE, &on, sizeof on);
    set_tcp_option(handle, TCP_NODELAY, on);
    set_tcp_option(handle, TCP_USER_TIMEOUT, bounds.unacknowledged_ms_);
    set_tcp_option(handle, TCP_KEEPIDLE, bounds.idle_s_);
    set_tcp_option(handle, TCP_KEEPINTVL, bounds.interval_s_);
    set_tcp_option(handle, TCP_KEEPCNT, bounds.probes_);
}

result<void> listen_on(boost::asio::ip::tcp::acceptor& acceptor,
                       std::string_view address)
{
    auto at = parse_endpoint(address);
    if (!at)
        return tl::unexpected(at.error());
    io_error wrong;
    acceptor.open(at->protocol(), wrong);
    acceptor.set_option(boost::asio::socket_base::reuse_address(true), wrong);
    acceptor.bind(*at, wrong);
    if (!wrong)
        acceptor.listen(boost::asio::socket_base::max_listen_connections,
                        wrong);
    if (wrong)
        return fail(error_code::unavailable, "listen: " + wrong.message());
    return {};
}

result<boost::asio::ip::tcp::endpoint> parse_endpoint(std::string_view text)
{
    std::size_t colon = text.rfind(':');
    if (colon == std::string_view::npos)
        return fail(error_code::malformed, "address without a port");
    io_error wrong;
    auto ip = boost::asio::ip::make_address(std::string(text.substr(0, colon)),
                                            wrong);
    std::uint16_t port = 0;
    const char* end = text.data() + text.size();
    auto [at, code] = std::from_chars(text.data() + colon + 1, end, port);
    if (wrong || code != std::errc{} || at != end || port == 0)
        return fail(error_code::malformed, "address is not IP:PORT");
    return boost::asio::ip::tcp::endpoint(ip, port);
}

} // namespace tanagerspan
