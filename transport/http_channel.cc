#include "transport/http_channel.h"

#include <deque>
#include <optional>

#include <boost/asio/connect.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http.hpp>

namespace tanagerspan
{
namespace http = boost::beast::http;
// A page of rows has at most 1 MiB of values, which the encoding enlarges.
constexpr std::size_t max_answer_bytes = std::size_t{8} << 20;

struct http_channel::impl : std::enable_shared_from_this<impl>
{
    struct queued_call
    {
        http_call call_;
        handler done_;
    };

    boost::asio::io_context& loop_;
    boost::asio::ip::tcp::endpoint peer_;
    tcp_socket socket_;
    boost::asio::steady_timer timer_;
    std::deque<queued_call> queue_;
    http::request<http::string_body> request_;
    std::optional<http::response_parser<http::string_body>> parser_;
    boost::beast::flat_buffer buffer_;
    // Number of the current exchange; completions of earlier ones are ignored.
    std::uint64_t exchange_ = 0;
    bool running_ = false;
    bool stopped_ = false;
    bool sent_ = false;

    impl(boost::asio::io_context& loop, boost::asio::ip::tcp::endpoint peer)
        : loop_(loop), peer_(std::move(peer)), socket_(loop), timer_(loop)
    {
    }

    void start_next()
    {
        if (running_ || stopped_ || queue_.empty())
            return;
        running_ = true;
        sent_ = false;
        std::uint64_t exchange = ++exchange_;
        timer_.expires_after(
            std::chrono::milliseconds(queue_.front().call_.timeout_ms_));
        timer_.async_wait(
            [self = shared_from_this(), exchange](io_error cancelled)
            {
                if (!cancelled && self->exchange_ == exchange)
                    self->finish_failed("timeout");
            });
        if (socket_.is_open())
            return write_request(exchange);
        io_error ignored;
        socket_.open(peer_.protocol(), ignored);
        set_tcp_timeouts(socket_, {});
        socket_.async_connect(
            peer_,
            [self = shared_from_this(), exchange](io_error error)
            {
                if (self->exchange_ != exchange)
                    return;
                if (error)
                    return self->finish_failed("connect: " + error.message());
                self->write_request(exchange);
            });
    }

    void write_request(std::uint64_t exchange)
    {
        const http_call& call = queue_.front().call_;
        request_ = {};
        request_.version(11);
        request_.method_string(call.method_);
        request_.target(call.target_);
        request_.set(http::field::host, peer_.address().to_string());
        for (const auto& [name, value] : call.headers_)
            request_.set(name, value);
        if (!call.body_.empty())
            request_.set(http::field::content_type, "application/json");
        request_.body() = call.body_;
        request_.prepare_payload();
        sent_ = true;
        http::async_write(
            socket_, request_,
            [self = shared_from_this(), exchange](io_error error, std::size_t)
            {
                if (self->exchange_ != exchange)
                    return;
                if (error)
                    return self->finish_failed("write: " + error.message());
                self->read_answer(exchange);
            });
    }

    void read_answer(std::uint64_t exchange)
    {
        parser_.emplace();
        parser_->body_limit(max_answer_bytes);
        http::async_read(
            socket_, buffer_, *parser_,
            [self = shared_from_this(), exchange](io_error error, std::size_t)
            {
                if (self->exchange_ != exchange)
                    return;
                if (error)
                    return self->finish_failed("read: " + error.message());
                self->finish_answered();
            });
    }

    void finish_answered()
    {
        auto answer = parser_->release();
        if (!answer.keep_alive())
            close();
        http_reply reply{.status_ = static_cast<int>(answer.result_int()),
                         .body_ = std::move(answer.body())};
        for (const auto& header : answer)
            reply.headers_.emplace_back(header.name_string(), header.value());
        finish(std::move(reply));
    }

    void finish_failed(const std::string& detail)
    {
        close();
        finish(fail(sent_ ? error_code::lost : error_code::not_sent, detail));
    }

    void finish(result<http_reply> answer)
    {
        ++exchange_;
        timer_.cancel();
        running_ = false;
        handler done = std::move(queue_.front().done_);
        queue_.pop_front();
        start_next();
        done(std::move(answer));
    }

    void close()
    {
        io_error ignored;
        socket_.close(ignored);
        buffer_.clear();
    }
};

http_channel::http_channel(boost::asio::io_context& loop,
                           boost::asio::ip::tcp::endpoint peer)
    : impl_(std::make_shared<impl>(loop, std::move(peer)))
{
}

http_channel::~http_channel()
{
    impl_->stopped_ = true;
    ++impl_->exchange_;
    impl_->timer_.cancel();
    impl_->close();
}

void http_channel::send(http_call call, handler done)
{
    impl_->queue_.push_back({std::move(call), std::move(done)});
    boost::asio::post(impl_->loop_,
                      [self = impl_]
                      {
                          self->start_next();
                      });
}

} // namespace tanagerspan
