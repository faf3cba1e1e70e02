#include "transport/byte_stream.h"

#include <array>
#include <utility>

#include <boost/asio/buffer.hpp>
#include <boost/asio/post.hpp>

namespace tanagerspan
{
namespace
{

constexpr std::size_t read_buffer_bytes = 16384;

bool would_block(const io_error& code)
{
    return code == boost::asio::error::would_block ||
           code == boost::asio::error::try_again;
}

failure connection_lost(const io_error& code)
{
    return {error_code::lost, code.message()};
}

} // namespace

void byte_stream::start(handlers callbacks)
{
    handlers_ = std::move(callbacks);
    io_error ignored;
    socket_.non_blocking(true, ignored);
    set_tcp_timeouts(socket_, {});
    wait_for_input();
}

void byte_stream::open(const boost::asio::ip::tcp::endpoint& peer,
                       handlers callbacks,
                       std::function<void(result<void>)> on_open)
{
    io_error ignored;
    socket_.open(peer.protocol(), ignored);
    socket_.async_connect(
        peer,
        [self = shared_from_this(), callbacks = std::move(callbacks),
         on_open = std::move(on_open)](io_error error) mutable
        {
            if (!self->socket_.is_open())
                return;
            if (error)
            {
                self->close();
                return on_open(fail(error_code::not_sent, error.message()));
            }
            self->start(std::move(callbacks));
            on_open({});
        });
}

void byte_stream::pause_input(bool paused)
{
    input_paused_ = paused;
    if (socket_.is_open())
        wait_for_input();
}

bool byte_stream::has_unprocessed_input()
{
    io_error ignored;
    return !input_.empty() || socket_.available(ignored) > 0;
}

void byte_stream::wait_for_input()
{
    if (input_paused_ || std::exchange(waiting_for_input_, true))
        return;
    socket_.async_wait(tcp_socket::wait_read,
                       [self = shared_from_this()](io_error error)
                       {
                           self->waiting_for_input_ = false;
                           if (!self->socket_.is_open())
                               return;
                           if (error)
                               return self->close_with(connection_lost(error));
                           // Input may have been paused during the wait.
                           if (!self->input_paused_)
                               self->read_available();
                       });
}

void byte_stream::read_available()
{
    thread_local std::array<char, read_buffer_bytes> buffer;
    io_error error;
    std::size_t count = socket_.read_some(boost::asio::buffer(buffer), error);
    if (error && !would_block(error))
        return close_with(connection_lost(error));
    input_.append(std::string_view(buffer.data(), count));
    if (input_.size() > limits_.max_input_bytes_)
        return close_with(
            {error_code::too_large, "unprocessed input over the limit"});
    // The handler may close the stream, which destroys the handlers.
    auto self = shared_from_this();
    auto on_input = handlers_.on_input_;
    if (count > 0 && on_input)
        on_input();
    if (socket_.is_open())
        wait_for_input();
}

void byte_stream::send(std::string_view bytes)
{
    if (!socket_.is_open())
        return;
    output_.append(bytes);
    if (output_.size() > limits_.max_output_bytes_)
    {
        return close_later(
            {error_code::too_large, "unsent output over the limit"});
    }
    if (!writing_)
        flush();
}

void byte_stream::flush()
{
    while (!output_.empty())
    {
        io_error error;
        std::size_t sent =
            socket_.write_some(boost::asio::buffer(output_), error);
        output_.erase(0, sent);
        if (would_block(error))
            break;
        if (error)
        {
            // The next read reports the error, after the bytes that have
            // already arrived. While input is paused there is none.
            output_.clear();
            if (input_paused_)
                close_later(connection_lost(error));
            break;
        }
    }
    writing_ = !output_.empty();
    if (!writing_)
    {
        io_error ignored;
        if (shutdown_requested_)
            socket_.shutdown(tcp_socket::shutdown_send, ignored);
        return;
    }
    socket_.async_wait(tcp_socket::wait_write,
                       [self = shared_from_this()](io_error error)
                       {
                           if (self->socket_.is_open() && !error)
                               self->flush();
                       });
}

void byte_stream::shutdown_output()
{
    shutdown_requested_ = true;
    if (!writing_ && socket_.is_open())
        flush();
}

// `on_end_` must not run within the owner's call of send.
void byte_stream::close_later(const failure& cause)
{
    boost::asio::post(socket_.get_executor(),
                      [self = shared_from_this(), cause]
                      {
                          self->close_with(cause);
                      });
}

void byte_stream::close_with(const failure& cause)
{
    auto self = shared_from_this();
    auto on_end = std::move(handlers_.on_end_);
    close();
    if (on_end)
        on_end(cause);
}

void byte_stream::close()
{
    io_error ignored;
    socket_.close(ignored);
    handlers_ = {};
}

} // namespace tanagerspan
