#ifndef TANAGERSPAN_TRANSPORT_ENDPOINT_CLIENT_H
#define TANAGERSPAN_TRANSPORT_ENDPOINT_CLIENT_H

// Requests to endpoints, with records for bodies. docs/STAND-INS.md has the
// paths and records. Calls block; a connection must not be used by two threads
// at once.

#include "state/endpoint_records.h"
#include "transport/http_connection.h"

namespace tanagerspan
{

/// Posts a record and decodes the answer. Errors: those of
/// http_connection::exchange, the error code of the endpoint's refusal, and
/// lost if the answer cannot be decoded.
template <class Answer, class Request>
result<Answer> call_endpoint(http_connection& connection, std::string_view path,
                             const Request& request, std::int64_t timeout_ms,
                             std::string_view seat = {});

/// Returns the failure in the body of an answer whose status is not 200.
failure refusal_of(const http_answer& answer);

template <class Answer, class Request>
result<Answer> call_endpoint(http_connection& connection, std::string_view path,
                             const Request& request, std::int64_t timeout_ms,
                             std::string_view seat)
{
    auto answer = connection.exchange("POST", path, encode(request).dump(),
                                      timeout_ms, seat);
    if (!answer)
        return tl::unexpected(answer.error());
    constexpr int http_ok = 200;
    if (answer->status_ != http_ok)
        return tl::unexpected(refusal_of(*answer));
    auto decoded = decode_text<Answer>(answer->body_);
    if (!decoded)
    {
        connection.close();
        return fail(error_code::lost, decoded.error().detail_);
    }
    return decoded;
}

} // namespace tanagerspan

#endif
