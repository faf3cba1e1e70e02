#include "transport/peer_connections.h"

#include <algorithm>
#include <array>
#include <atomic>

#include <Poco/Net/NetException.h>
#include <Poco/Net/StreamSocket.h>
#include <Poco/Net/TCPServer.h>
#include <Poco/Net/TCPServerConnection.h>
#include <Poco/Net/TCPServerConnectionFactory.h>
#include <Poco/ThreadPool.h>

#include "transport/json_log.h"

namespace tanagerspan
{
namespace
{

constexpr int us_per_ms = 1000;
constexpr std::size_t max_idle_connections = 8; // for each peer
constexpr int idle_timeout_s = 60;

void send_all(Poco::Net::StreamSocket& socket, std::span<const char> bytes)
{
    while (!bytes.empty())
    {
        int sent =
            socket.sendBytes(bytes.data(), static_cast<int>(bytes.size()));
        if (sent <= 0)
            throw Poco::Net::ConnectionResetException();
        bytes = bytes.subspan(static_cast<std::size_t>(sent));
    }
}

bool receive_all(Poco::Net::StreamSocket& socket, std::span<char> into)
{
    while (!into.empty())
    {
        int got =
            socket.receiveBytes(into.data(), static_cast<int>(into.size()));
        if (got <= 0)
            return false;
        into = into.subspan(static_cast<std::size_t>(got));
    }
    return true;
}

result<peer_frame> receive_frame(Poco::Net::StreamSocket& socket)
{
    std::array<char, frame_header_bytes> header{};
    if (!receive_all(socket, header))
        return fail(error_code::lost, "closed by the peer");
    auto length = decode_length(header);
    if (!length)
        return tl::unexpected(length.error());
    std::string payload(*length, '\0');
    if (!receive_all(socket, payload))
        return fail(error_code::malformed, "frame: truncated");
    return decode_payload(payload);
}

// Returns true for the types that this listener answers. The other types are
// sent on other connections.
bool is_request(frame_type type)
{
    return type == frame_type::forward || type == frame_type::gossip;
}

class peer_connection : public Poco::Net::TCPServerConnection
{
public:
    peer_connection(const Poco::Net::StreamSocket& socket,
                    const peer_handler& handler)
        : TCPServerConnection(socket), handler_(handler)
    {
    }

    void run() override
    {
        try
        {
            socket().setNoDelay(true);
            socket().setReceiveTimeout(Poco::Timespan(idle_timeout_s, 0));
            while (true)
            {
                auto frame = receive_frame(socket());
                if (!frame)
                {
                    if (frame.error().code_ != error_code::lost)
                        log_line(log_level::warning, "bad_peer_frame",
                                 {{"error", name_of(frame.error().code_)},
                                  {"detail", frame.error().detail_}});
                    return;
                }
                if (!is_request(frame->type_))
                    return log_line(
                        log_level::warning, "bad_peer_frame",
                        {{"error", name_of(error_code::malformed)},
                         {"detail",
                          "not a request: type " +
                              std::to_string(static_cast<int>(frame->type_))}});
                auto answer = handler_(*frame);
                answer.correlation_id_ = frame->correlation_id_;
                send_all(socket(), encode_frame(answer));
            }
        }
        catch (const std::exception&)
        {
            return; // The connection broke; the peer's exchange fails too.
        }
    }

private:
    const peer_handler& handler_;
};

class connection_factory : public Poco::Net::TCPServerConnectionFactory
{
public:
    explicit connection_factory(const peer_handler& handler) : handler_(handler)
    {
    }

    Poco::Net::TCPServerConnection*
    createConnection(const Poco::Net::StreamSocket& socket) override // NOLINT
    {
        return new peer_connection(socket, handler_);
    }

private:
    const peer_handler& handler_;
};

} // namespace

struct peer_listener::impl
{
    std::string address_;
    int max_connections_;
    peer_handler handler_;
    std::unique_ptr<Poco::ThreadPool> threads_;
    std::unique_ptr<Poco::Net::TCPServer> server_;
};

peer_listener::peer_listener(std::string address, int max_connections,
                             peer_handler handler)
    : impl_(std::make_unique<impl>())
{
    impl_->address_ = std::move(address);
    impl_->max_connections_ = max_connections;
    impl_->handler_ = std::move(handler);
}

peer_listener::~peer_listener()
{
    stop();
}

result<void> peer_listener::start()
{
    try
    {
        Poco::Net::ServerSocket socket;
        socket.bind(Poco::Net::SocketAddress(impl_->address_), true);
        constexpr int backlog = 256;
        socket.listen(backlog);
        auto params = Poco::makeAuto<Poco::Net::TCPServerParams>();
        params->setMaxThreads(impl_->max_connections_);
        impl_->threads_ =
            std::make_unique<Poco::ThreadPool>(2, impl_->max_connections_ + 2);
        impl_->server_ = std::make_unique<Poco::Net::TCPServer>(
            new connection_factory(impl_->handler_), *impl_->threads_, socket,
            params);
        impl_->server_->start();
        return {};
    }
    catch (const Poco::Exception& error)
    {
        return fail(error_code::unavailable,
                    impl_->address_ + ": " + error.displayText());
    }
}

void peer_listener::stop()
{
    if (impl_->server_)
        impl_->server_->stop();
}

struct peer_client::impl
{
    std::mutex mutex_;
    std::map<std::string, std::vector<Poco::Net::StreamSocket>> idle_;
    std::atomic<std::uint64_t> next_id_{1};
    std::atomic<std::uint64_t> bytes_{0};

    // Moves an idle connection without unread bytes to `out`. Returns false if
    // there is none.
    bool acquire_idle(const std::string& address, Poco::Net::StreamSocket& out)
    {
        std::lock_guard lock(mutex_);
        auto& connections = idle_[address];
        while (!connections.empty())
        {
            out = connections.back();
            connections.pop_back();
            if (!out.poll(Poco::Timespan(0), Poco::Net::Socket::SELECT_READ))
                return true;
        }
        return false;
    }
};

peer_client::peer_client() : impl_(std::make_unique<impl>())
{
}

peer_client::~peer_client() = default;

std::uint64_t peer_client::bytes() const
{
    return impl_->bytes_;
}

result<nlohmann::json> peer_client::exchange(const std::string& address,
                                             frame_type type,
                                             nlohmann::json body,
                                             std::int64_t timeout_ms)
{
    bool sent = false;
    try
    {
        Poco::Timespan timeout(std::max<std::int64_t>(timeout_ms, 1) *
                               us_per_ms);
        Poco::Net::StreamSocket socket;
        if (!impl_->acquire_idle(address, socket))
        {
            socket = Poco::Net::StreamSocket();
            socket.connect(Poco::Net::SocketAddress(address), timeout);
            socket.setNoDelay(true);
        }
        socket.setReceiveTimeout(timeout);
        socket.setSendTimeout(timeout);
        peer_frame frame{.type_ = type,
                         .correlation_id_ = impl_->next_id_++,
                         .body_ = std::move(body)};
        std::string bytes = encode_frame(frame);
        sent = true;
        send_all(socket, bytes);
        auto answer = receive_frame(socket);
        if (!answer)
            return tl::unexpected(answer.error());
        if (answer->correlation_id_ != frame.correlation_id_)
            return fail(error_code::lost, "answer with another correlation id");
        impl_->bytes_ += bytes.size() + encode_frame(*answer).size();
        std::lock_guard lock(impl_->mutex_);
        auto& connections = impl_->idle_[address];
        if (connections.size() < max_idle_connections)
            connections.push_back(socket);
        return std::move(answer->body_);
    }
    catch (const std::exception& error)
    {
        return fail(sent ? error_code::lost : error_code::not_sent,
                    error.what());
    }
}

} // namespace tanagerspan
