#ifndef TANAGERSPAN_TRANSPORT_HTTP_RESPONDER_H
#define TANAGERSPAN_TRANSPORT_HTTP_RESPONDER_H

// A minimal HTTP/1.1 server on an event loop, for health checks and metrics.
// Requests are limited to 8 KiB, and the handler answers synchronously on the
// loop's thread.

#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <string_view>

#include <boost/asio/io_context.hpp>

#include "transport/http_channel.h"

namespace tanagerspan
{

class http_responder
{
public:
    using handler = std::function<http_reply(std::string_view method,
                                             std::string_view target)>;

    http_responder(boost::asio::io_context& loop, handler on_request);

    /// Starts listening on IP:PORT. Errors: malformed, unavailable.
    result<void> start(std::string_view address);

private:
    void accept_next();

    boost::asio::ip::tcp::acceptor acceptor_;
    handler on_request_;
};

} // namespace tanagerspan

#endif
