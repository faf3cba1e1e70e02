#include "transport/http_responder.h"

#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http.hpp>

namespace tanagerspan
{
namespace http = boost::beast::http;
namespace
{

// Requests have a request line and a few headers.
constexpr std::size_t max_request_bytes = 8192;

struct connection : std::enable_shared_from_this<connection>
{
    tcp_socket socket_;
    http_responder::handler on_request_;
    boost::beast::flat_buffer buffer_{max_request_bytes};
    http::request<http::string_body> request_;
    http::response<http::string_body> response_;

    connection(tcp_socket socket, http_responder::handler on_request)
        : socket_(std::move(socket)), on_request_(std::move(on_request))
    {
    }

    void read()
    {
        request_ = {};
        http::async_read(
            socket_, buffer_, request_,
            [self = shared_from_this()](io_error error, std::size_t)
            {
                if (!error)
                    self->write();
            });
    }

    void write()
    {
        auto method = request_.method_string();
        auto target = request_.target();
        http_reply answer = on_request_({method.data(), method.size()},
                                        {target.data(), target.size()});
        response_ = {};
        response_.version(request_.version());
        response_.result(static_cast<unsigned>(answer.status_));
        for (const auto& [name, value] : answer.headers_)
            response_.set(name, value);
        response_.keep_alive(request_.keep_alive());
        response_.body() = std::move(answer.body_);
        response_.prepare_payload();
        http::async_write(
            socket_, response_,
            [self = shared_from_this()](io_error error, std::size_t)
            {
                if (!error && self->response_.keep_alive())
                    self->read();
            });
    }
};

} // namespace

http_responder::http_responder(boost::asio::io_context& loop,
                               handler on_request)
    : acceptor_(loop), on_request_(std::move(on_request))
{
}

result<void> http_responder::start(std::string_view address)
{
    if (auto listens = listen_on(acceptor_, address); !listens)
        return listens;
    accept_next();
    return {};
}

void http_responder::accept_next()
{
    acceptor_.async_accept(
        [this](io_error error, tcp_socket socket)
        {
            if (error == boost::asio::error::operation_aborted)
                return;
            if (!error)
            {
                set_tcp_timeouts(socket, {});
                std::make_shared<connection>(std::move(socket), on_request_)
                    ->read();
            }
            accept_next();
        });
}

} // namespace tanagerspan
