#ifndef TANAGERSPAN_TRANSPORT_BYTE_STREAM_H
#define TANAGERSPAN_TRANSPORT_BYTE_STREAM_H

// A TCP connection on an event loop, as bytes in and bytes out.
//
// Received bytes collect in `input()`, from which the owner takes whole
// messages; the read buffer itself is shared by all streams of a thread, so
// that an idle connection holds no buffer. Sending tries the socket at once
// and queues what the socket does not take.
//
//   stream->start({.on_input_ = [&] { ... }, .on_end_ = [&](auto why) {...}});
//   stream->send(bytes);
//
// Handlers run on the loop's thread. `on_end_` runs at most once, and not
// after `close`. An owner that is destroyed calls `close` first.

#include <functional>
#include <memory>
#include <string>
#include <string_view>

#include "state/failure.h"
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
        /// Input that the owner has not taken; more ends the connection.
        std::size_t max_input_bytes_ = std::size_t{2} << 20;
        /// Output that the peer has not taken; more ends the connection.
        std::size_t max_output_bytes_ = std::size_t{4} << 20;
    };

    explicit byte_stream(tcp_socket socket) : socket_(std::move(socket))
    {
    }

    /// Takes over a connected socket.
    void start(handlers to);

    /// Connects, then starts. `on_open` with the outcome; not_sent on errors.
    void open(const boost::asio::ip::tcp::endpoint& peer, handlers to,
              std::function<void(result<void>)> on_open);

    void send(std::string_view bytes);

    std::string& input()
    {
        return input_;
    }

    /// No more bytes go out; those queued are sent first.
    void end_output();

    void close();
    bool is_open() const
    {
        return socket_.is_open();
    }

private:
    void wait_for_input();
    void read_available();
    void flush();
    void end(const failure& why);

    tcp_socket socket_;
    handlers handlers_;
    limits limits_;
    std::string input_;
    std::string output_;
    bool writing_ = false;
    bool end_output_ = false;
};

} // namespace tanagerspan

#endif
