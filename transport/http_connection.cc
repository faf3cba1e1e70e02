#include "transport/http_connection.h"

#include <algorithm>
#include <array>
#include <charconv>

#include <Poco/Net/HTTPClientSession.h>
#include <Poco/Net/HTTPRequest.h>
#include <Poco/Net/HTTPResponse.h>
#include <Poco/Net/NetException.h>
#include <Poco/Net/SocketAddress.h>

namespace tanagerspan
{
namespace
{

constexpr std::int64_t us_per_ms = 1000;
constexpr std::size_t max_answer_bytes = 16UL * 1024 * 1024;
constexpr std::size_t read_buffer_bytes = 16384;

Poco::Timespan span_of(std::int64_t ms)
{
    return {std::max<std::int64_t>(ms, 1) * us_per_ms};
}

} // namespace

http_connection::http_connection(std::string_view address)
{
    auto colon = address.rfind(':');
    if (colon == std::string_view::npos)
        return;
    host_ = address.substr(0, colon);
    if (host_.starts_with('[') && host_.ends_with(']'))
        host_ = host_.substr(1, host_.size() - 2);
    auto digits = address.substr(colon + 1);
    std::from_chars(digits.data(), digits.data() + digits.size(), port_);
}

http_connection::~http_connection() = default;

result<void> http_connection::connect(std::int64_t timeout_ms)
{
    if (session_ && session_->connected())
        return {};
    if (port_ == 0)
        return fail(error_code::malformed, "address is not IP:PORT");
    try
    {
        Poco::Net::StreamSocket socket;
        socket.connect(Poco::Net::SocketAddress(host_, port_),
                       span_of(timeout_ms));
        socket.setNoDelay(true);
        session_ = std::make_unique<Poco::Net::HTTPClientSession>(socket);
        // Without a host the session cannot reconnect, which would repeat the
        // request.
        session_->setKeepAlive(true);
        session_->setKeepAliveTimeout(Poco::Timespan(3600, 0));
        return {};
    }
    catch (const Poco::Exception& error)
    {
        session_.reset();
        return fail(error_code::not_sent, error.displayText());
    }
}

result<http_answer> http_connection::exchange(std::string_view method,
                                              std::string_view path,
                                              std::string_view body,
                                              std::int64_t timeout_ms,
                                              std::string_view seat)
{
    if (auto connected = connect(timeout_ms); !connected)
        return tl::unexpected(connected.error());
    try
    {
        // Set on the socket, since the session applies its own timeouts only
        // when it connects, which it never does.
        session_->socket().setSendTimeout(span_of(timeout_ms));
        session_->socket().setReceiveTimeout(span_of(timeout_ms));
        Poco::Net::HTTPRequest request(std::string(method), std::string(path),
                                       "HTTP/1.1");
        request.setKeepAlive(true);
        request.setHost(host_, port_);
        request.setContentLength64(static_cast<Poco::Int64>(body.size()));
        if (!body.empty())
            request.setContentType("application/json");
        if (!seat.empty())
            request.set("X-Seat", std::string(seat));
        auto& out = session_->sendRequest(request);
        out.write(body.data(), static_cast<std::streamsize>(body.size()));
        out.flush();

        Poco::Net::HTTPResponse response;
        auto& in = session_->receiveResponse(response);
        http_answer answer{.status_ = response.getStatus(), .body_ = {}};
        std::array<char, read_buffer_bytes> part{};
        while (in.read(part.data(), part.size()) || in.gcount() > 0)
        {
            answer.body_.append(part.data(),
                                static_cast<std::size_t>(in.gcount()));
            if (answer.body_.size() > max_answer_bytes)
            {
                close();
                return fail(error_code::lost, "answer over 16 MiB");
            }
        }
        auto length = response.getContentLength64();
        if (length >= 0 &&
            static_cast<std::size_t>(length) != answer.body_.size())
        {
            close();
            return fail(error_code::lost, "answer truncated");
        }
        if (!response.getKeepAlive())
            close();
        return answer;
    }
    catch (const std::exception& error)
    {
        close();
        return fail(error_code::lost, error.what());
    }
}

bool http_connection::clean() const
{
    if (!session_ || !session_->connected())
        return false;
    try
    {
        // An idle socket is readable if the peer closed the connection or sent
        // bytes that belong to no request. Neither may be reused.
        return !session_->socket().poll(Poco::Timespan(0),
                                        Poco::Net::Socket::SELECT_READ);
    }
    catch (const std::exception&)
    {
        return false;
    }
}

void http_connection::close()
{
    session_.reset();
}

} // namespace tanagerspan
