#ifndef TANAGERSPAN_TRANSPORT_HTTP_CONNECTION_H
#define TANAGERSPAN_TRANSPORT_HTTP_CONNECTION_H

// A blocking HTTP/1.1 connection to an endpoint or to the platform.
//
// Invariant: an answer belongs to the request before it. After an exchange
// that failed or timed out the connection is closed, so that a late answer is
// never taken for the answer to the next request.
//
// Failures tell whether the peer may have run the request: `not_sent` if no
// connection was made, so that no byte was sent; `lost` otherwise.
//
// Not thread-safe.

#include <memory>
#include <string>
#include <string_view>

#include "protocol/caller_messages.h"
#include "state/failure.h"

namespace Poco::Net // NOLINT: the library's name
{
class HTTPClientSession;
}

namespace tanagerspan
{

class http_connection
{
public:
    /// `address` is IP:PORT.
    explicit http_connection(std::string_view address);
    ~http_connection();
    http_connection(const http_connection&) = delete;
    http_connection& operator=(const http_connection&) = delete;

    /// Connects if not connected. Errors: not_sent, malformed (address).
    result<void> connect(std::int64_t timeout_ms);

    /// Connects if needed, sends a request and returns the answer. `seat` is
    /// the value of the X-Seat header, which is omitted if `seat` is empty.
    /// Errors: those of connect; lost, also for an answer over 16 MiB.
    result<http_answer> exchange(std::string_view method, std::string_view path,
                                 std::string_view body, std::int64_t timeout_ms,
                                 std::string_view seat = {});

    /// Returns true if the connection is open and has no unread bytes, so that
    /// it can be reused.
    bool clean() const;

    void close();

private:
    std::string host_;
    std::uint16_t port_ = 0;
    std::unique_ptr<Poco::Net::HTTPClientSession> session_;
};

} // namespace tanagerspan

#endif
