#ifndef TANAGERSPAN_TRANSPORT_HTTP_LISTENER_H
#define TANAGERSPAN_TRANSPORT_HTTP_LISTENER_H

// An HTTP/1.1 server on Poco::Net::HTTPServer. Each connection has a thread,
// bodies have a size limit, and the handler is called once per request.
//
//   http_listener listener({.address_ = "127.0.0.1:8080"}, service);
//   listener.start();

#include <functional>
#include <memory>
#include <string>

#include "protocol/caller_messages.h"
#include "state/failure.h"

namespace tanagerspan
{

/// A received request.
struct http_request
{
    std::string method_;
    std::string path_; ///< path and query, as received
    std::string body_;
    std::string seat_; ///< value of the X-Seat header, or empty
    std::string peer_; ///< IP:PORT of the client
};

/// Answers a request. Called by several threads concurrently.
using http_handler = std::function<http_answer(const http_request&)>;

class http_listener
{
public:
    struct options
    {
        std::string address_{}; ///< IP:PORT; port 0 selects a free port
        int max_connections_ = 64;
        int max_queued_ = 64;
    };

    http_listener(options opts, http_handler handler);
    ~http_listener();

    /// Starts listening. Errors: unavailable (the address cannot be bound).
    result<void> start();

    /// Stops accepting connections, then closes the open ones.
    void stop();

    /// The port that the listener is bound to; 0 before `start`.
    int port() const;

    /// The number of open connections.
    int connections() const;

private:
    struct impl;
    std::unique_ptr<impl> impl_;
};

} // namespace tanagerspan

#endif
