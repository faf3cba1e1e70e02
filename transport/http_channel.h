#ifndef TANAGERSPAN_TRANSPORT_HTTP_CHANNEL_H
#define TANAGERSPAN_TRANSPORT_HTTP_CHANNEL_H

// An HTTP/1.1 client with one keep-alive connection on an event loop. Calls
// are queued and sent one at a time. After an error the connection is closed;
// the next call opens a new one.
//
//   http_channel channel(loop, endpoint);
//   channel.send({.target_ = "/x", .timeout_ms_ = 1000},
//                [](result<http_reply> answer) { ... });
//
// All calls and handlers run on the loop's thread.

#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <utility>
#include <vector>

#include <boost/asio/io_context.hpp>

#include "state/failure.h"
#include "transport/socket_options.h"

namespace tanagerspan
{

/// An HTTP request to send.
struct http_call
{
    std::string method_ = "GET";
    std::string target_;
    std::string body_{};
    std::vector<std::pair<std::string, std::string>> headers_{};
    std::int64_t timeout_ms_ = 2000; ///< connecting and exchange together
};

/// An HTTP answer.
struct http_reply
{
    int status_ = 0;
    std::string body_;
    std::vector<std::pair<std::string, std::string>> headers_{};
};

class http_channel
{
public:
    using handler = std::function<void(result<http_reply>)>;

    http_channel(boost::asio::io_context& loop,
                 boost::asio::ip::tcp::endpoint peer);
    ~http_channel();
    http_channel(const http_channel&) = delete;
    http_channel& operator=(const http_channel&) = delete;

    /// Queues a call; `done` runs once with the answer, but not if the channel
    /// is destroyed first. Errors: not_sent if no byte of the request was
    /// sent, lost otherwise.
    void send(http_call call, handler done);

private:
    struct impl;
    std::shared_ptr<impl> impl_;
};

} // namespace tanagerspan

#endif
