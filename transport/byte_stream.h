#ifndef TANAGERSPAN_TRANSPORT_BYTE_STREAM_H
#define TANAGERSPAN_TRANSPORT_BYTE_STREAM_H

// A TCP connection on an event loop that sends and receives bytes.
//
// Received bytes are appended to `input()`, from which the owner removes
// complete messages. `pause_input` leaves further bytes in the socket, so that
// TCP slows the sender down. All streams of a thread share one read buffer, so
// that an idle connection needs no buffer. `send` writes to the socket
// immediately and queues the bytes that the socket does not accept.
//
//   stream->start({.on_input_ = [&] { ... }, .on_end_ = [&](auto why) {...}});
//   stream->send(bytes);
//
// Calls and handlers run on the loop's thread. `on_end_` runs at most once and
// never after `close`. The owner must call `close` before it is destroyed.

#include <functional>
#include <memory>
#include <string>
#include <string_view>

#include "state/failure.h"
#include "state/input_buffer.h"
#include "transport/socket_options.h"

#include <boost/asio/io_context.hpp>

namespace tanagerspan
{

class byte_stream : public std::enable_shared_from_this<byte_stream>
{
public:
    struct handlers
    {
        std::function<void()> on_input_;
        std::function<void(const failure&)> on_end_;
    };

    struct limits
    {
        /// Limit of input that the owner has not removed; more input ends the
        /// connection.
        std::size_t max_input_bytes_ = std::size_t{2} << 20;
        /// Limit of queued output; more output ends the connection.
        std::size_t max_output_bytes_ = std::size_t{4} << 20;
    };

    explicit byte_stream(tcp_socket socket) : socket_(std::move(socket))
    {
    }

    /// Starts reading from the socket, which must be connected.
    void start(handlers callbacks);

    /// Connects and starts, then calls `on_open`. Errors: not_sent. `on_open`
    /// is not called if the stream is closed first.
    void open(const boost::asio::ip::tcp::endpoint& peer, handlers callbacks,
              std::function<void(result<void>)> on_open);

    /// Sends or queues bytes; does nothing if the stream is closed.
    void send(std::string_view bytes);

    /// Received bytes; the owner removes those that it has processed.
    input_buffer& input()
    {
        return input_;
    }

    /// Stops or resumes reading from the socket. While paused, the end of the
    /// connection is noticed only when sending fails.
    void pause_input(bool paused);

    /// Whether bytes arrived that the owner has not removed, including those
    /// that are still in the socket.
    bool has_unprocessed_input();

    tcp_socket::executor_type executor()
    {
        return socket_.get_executor();
    }

    /// Shuts down the sending side once all queued bytes are sent.
    void shutdown_output();

    /// Closes the socket; no handler runs afterwards.
    void close();
    bool is_open() const
    {
        return socket_.is_open();
    }

private:
    void wait_for_input();
    void read_available();
    void flush();
    void close_with(const failure& cause);
    void close_later(const failure& cause);

    tcp_socket socket_;
    handlers handlers_;
    limits limits_;
    input_buffer input_;
    std::string output_;
    bool input_paused_ = false;
    bool waiting_for_input_ = false;
    bool writing_ = false;
    bool shutdown_requested_ = false;
};

} // namespace tanagerspan

#endif
