#include "transport/http_listener.h"

#include <Poco/Net/HTTPRequestHandler.h>
#include <Poco/Net/HTTPRequestHandlerFactory.h>
#include <Poco/Net/HTTPServer.h>
#include <Poco/Net/HTTPServerRequest.h>
#include <Poco/Net/HTTPServerResponse.h>
#include <Poco/ThreadPool.h>

namespace tanagerspan
{
namespace
{

constexpr int keep_alive_timeout_s = 120;
constexpr int thread_stack_bytes = 256 * 1024;

// Reads the body. Errors: too_large, malformed (truncated).
result<std::string> read_body(Poco::Net::HTTPServerRequest& request)
{
    auto length = request.getContentLength64();
    if (length > static_cast<Poco::Int64>(max_body_bytes))
        return fail(error_code::too_large, "body over 1 MiB");
    std::string body;
    constexpr std::size_t part_bytes = 8192;
    char part[part_bytes];
    auto& in = request.stream();
    while (in.read(part, part_bytes) || in.gcount() > 0)
    {
        body.append(part, static_cast<std::size_t>(in.gcount()));
        if (body.size() > max_body_bytes)
            return fail(error_code::too_large, "body over 1 MiB");
    }
    if (length >= 0 && body.size() != static_cast<std::size_t>(length))
        return fail(error_code::malformed, "body truncated");
    return body;
}

class request_handler : public Poco::Net::HTTPRequestHandler
{
public:
    explicit request_handler(const http_handler& handler) : handler_(handler)
    {
    }

    void handleRequest(Poco::Net::HTTPServerRequest& request, // NOLINT
                       Poco::Net::HTTPServerResponse& response) override
    {
        auto body = read_body(request);
        http_answer answer =
            body ? handler_({.method_ = request.getMethod(),
                             .path_ = request.getURI(),
                             .body_ = std::move(*body),
                             .seat_ = request.get("X-Seat", ""),
                             .peer_ = request.clientAddress().toString()})
                 : to_http(body.error(), outcome::not_run);
        if (!body)
            response.setKeepAlive(false);
        response.setStatusAndReason(
            static_cast<Poco::Net::HTTPResponse::HTTPStatus>(answer.status_));
        bool text = !answer.body_.empty() && answer.body_.front() == '#';
        response.setContentType(text ? "text/plain" : "application/json");
        response.sendBuffer(answer.body_.data(), answer.body_.size());
    }

private:
    const http_handler& handler_;
};

class handler_factory : public Poco::Net::HTTPRequestHandlerFactory
{
public:
    explicit handler_factory(const http_handler& handler) : handler_(handler)
    {
    }

    Poco::Net::HTTPRequestHandler*
    createRequestHandler(const Poco::Net::HTTPServerRequest&) override // NOLINT
    {
        return new request_handler(handler_);
    }

private:
    const http_handler& handler_;
};

} // namespace

struct http_listener::impl
{
    options options_;
    http_handler handler_;
    std::unique_ptr<Poco::ThreadPool> threads_;
    std::unique_ptr<Poco::Net::ServerSocket> socket_;
    std::unique_ptr<Poco::Net::HTTPServer> server_;
};

http_listener::http_listener(options opts, http_handler handler)
    : impl_(std::make_unique<impl>())
{
    impl_->options_ = std::move(opts);
    impl_->handler_ = std::move(handler);
}

http_listener::~http_listener()
{
    stop();
}

result<void> http_listener::start()
{
    try
    {
        const auto& opts = impl_->options_;
        auto params = Poco::makeAuto<Poco::Net::HTTPServerParams>();
        params->setMaxThreads(opts.max_connections_);
        params->setMaxQueued(opts.max_queued_);
        params->setKeepAlive(true);
        params->setMaxKeepAliveRequests(0);
        params->setKeepAliveTimeout(Poco::Timespan(keep_alive_timeout_s, 0));
        params->setTimeout(Poco::Timespan(keep_alive_timeout_s, 0));
        constexpr int initial_threads = 2;
        impl_->threads_ = std::make_unique<Poco::ThreadPool>(
            initial_threads, opts.max_connections_ + initial_threads, 60,
            thread_stack_bytes);
        impl_->socket_ = std::make_unique<Poco::Net::ServerSocket>();
        impl_->socket_->bind(Poco::Net::SocketAddress(opts.address_), true);
        constexpr int backlog = 512;
        impl_->socket_->listen(backlog);
        impl_->server_ = std::make_unique<Poco::Net::HTTPServer>(
            new handler_factory(impl_->handler_), *impl_->threads_,
            *impl_->socket_, params);
        impl_->server_->start();
        return {};
    }
    catch (const Poco::Exception& error)
    {
        return fail(error_code::unavailable,
                    impl_->options_.address_ + ": " + error.displayText());
    }
}

void http_listener::stop()
{
    if (!impl_->server_)
        return;
    impl_->server_->stopAll(true);
    impl_->threads_->joinAll();
    impl_->server_.reset();
}

int http_listener::port() const
{
    return impl_->socket_ ? impl_->socket_->address().port() : 0;
}

int http_listener::connections() const
{
    return impl_->server_ ? impl_->server_->currentConnections() : 0;
}

} // namespace tanagerspan
