#ifndef TANAGERSPAN_TRANSPORT_HTTP_CONNECTION_H
#define TANAGERSPAN_TRANSPORT_HTTP_CONNECTION_H

// One HTTP/1.1 connection to an endpoint or to the platform, with one
// exchange at a time.
//
// Invariant: an answer belongs to the request before it. A connection whose
// exchange failed or timed out is closed and never used again, so that a
// late answer cannot be taken for the next one.
//
// Failures say whether the peer may have acted: `not_sent` if no connection
// was made, so that no byte of the request went out; `lost` otherwise.
//
// One thread at a time.

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

    /// One exchange; `extra_header` is a name and a value, or empty.
    /// Errors: not_sent, lost, too_large.
    result<http_answer> exchange(std::string_view method, std::string_view path,
                                 std::string_view body, std::int64_t timeout_ms,
                                 std::string_view seat = {});

    /// True if connected with nothing unread: fit to be used again.
    bool clean() const;

    void close();

private:
    std::string host_;
    std::uint16_t port_ = 0;
    std::unique_ptr<Poco::Net::HTTPClientSession> session_;
};

} // namespace tanagerspan

#endif
