#include "transport/byte_stream.h"

#include <array>

#include <boost/asio/buffer.hpp>
#include <boost/asio/post.hpp>

namespace tanagerspan
{
namespace
{

constexpr std::size_t read_bytes = 16384;

bool would_block(const io_error& code)
{
    return code == boost::asio::error::would_block ||
           code == boost::asio::error::try_again;
}

failure lost(const io_error& code)
{
    return {error_code::lost, code.message()};
}

} // namespace

void byte_stream::start(handlers to)
{
    handlers_ = std::move(to);
    io_error ignored;
    socket_.non_blocking(true, ignored);
    set_silence_bounds(socket_, {});
    wait_for_input();
}

void byte_stream::open(const boost::asio::ip::tcp::endpoint& peer, handlers to,
                       std::function<void(result<void>)> on_open)
{
    io_error ignored;
    socket_.open(peer.protocol(), ignored);
    socket_.async_connect(
        peer,
        [self = shared_from_this(), to = std::move(to),
         on_open = std::move(on_open)](io_error wrong) mutable
        {
            if (!self->socket_.is_open())
                return;
            if (wrong)
            {
                self->close();
                return on_open(fail(error_code::not_sent, wrong.message()));
            }
            self->start(std::move(to));
            on_open({});
        });
}

void byte_stream::wait_for_input()
{
    socket_.async_wait(tcp_socket::wait_read,
                       [self = shared_from_this()](io_error wrong)
                       {
                           if (!self->socket_.is_open())
                               return;
                           if (wrong)
                               return self->end(lost(wrong));
                           self->read_available();
                       });
}

void byte_stream::read_available()
{
    thread_local std::array<char, read_bytes> buffer;
    io_error wrong;
    std::size_t count = socket_.read_some(boost::asio::buffer(buffer), wrong);
    if (wrong && !would_block(wrong))
        return end(lost(wrong));
    input_.append(buffer.data(), count);
    if (input_.size() > limits_.max_input_bytes_)
        return end({error_code::too_large, "unread input"});
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
        // `on_end_` must not run within the owner's call of send.
        boost::asio::post(
            socket_.get_executor(),
            [self = shared_from_this()]
            {
                self->end({error_code::too_large, "unsent output"});
            });
        return;
    }
    if (!writing_)
        flush();
}

void byte_stream::flush()
{
    while (!output_.empty())
    {
        io_error wrong;
        std::size_t sent =
            socket_.write_some(boost::asio::buffer(output_), wrong);
        output_.erase(0, sent);
        if (would_block(wrong))
            break;
        if (wrong)
        {
            // The next read reports the error, after the bytes that have
            // already arrived.
            output_.clear();
            break;
        }
    }
    writing_ = !output_.empty();
    if (!writing_)
    {
        io_error ignored;
        if (end_output_)
            socket_.shutdown(tcp_socket::shutdown_send, ignored);
        return;
    }
    socket_.async_wait(tcp_socket::wait_write,
                       [self = shared_from_this()](io_error wrong)
                       {
                           if (self->socket_.is_open() && !wrong)
                               self->flush();
                       });
}

void byte_stream::shutdown_output()
{
    end_output_ = true;
    if (!writing_ && socket_.is_open())
        flush();
}

void byte_stream::end(const failure& why)
{
    auto self = shared_from_this();
    auto on_end = std::move(handlers_.on_end_);
    close();
    if (on_end)
        on_end(why);
}

void byte_stream::close()
{
    io_error ignored;
    socket_.close(ignored);
    handlers_ = {};
}

} // namespace tanagerspan
