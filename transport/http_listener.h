#ifndef TANAGERSPAN_TRANSPORT_HTTP_LISTENER_H
#define TANAGERSPAN_TRANSPORT_HTTP_LISTENER_H

// An HTTP/1.1 server over Poco::Net::HTTPServer: one thread a connection,
// bodies bounded, every request answered by one call.
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

struct http_request
{
    std::string method_;
    std::string path_; ///< with the query, as received
    std::string body_;
    std::string seat_; ///< a connection's seat at an endpoint, if named
    std::string peer_; ///< the other end's IP:PORT
};

/// Answers a request; called by many threads at once.
using http_handler = std::function<http_answer(const http_request&)>;

class http_listener
{
public:
    struct options
    {
        std::string address_{}; ///< IP:PORT; port 0 takes a free one
        int max_connections_ = 64;
        int max_queued_ = 64;
    };

    http_listener(options opts, http_handler handler);
    ~http_listener();

    /// Errors: unavailable (the address cannot be had).
    result<void> start();

    /// Takes no new connections, then ends the open ones.
    void stop();

    /// The port that was taken.
    int port() const;

    int connections() const;

private:
    struct impl;
    std::unique_ptr<impl> impl_;
};

} // namespace tanagerspan

#endif
