#ifndef TANAGERSPAN_TRANSPORT_ENDPOINT_CLIENT_H
#define TANAGERSPAN_TRANSPORT_ENDPOINT_CLIENT_H

// Exchanges with a member, typed. The paths and records are those of
// docs/STAND-INS.md. Blocking; one thread a connection.

#include "state/endpoint_records.h"
#include "transport/http_connection.h"

namespace tanagerspan
{

/// Posts a record and decodes the answer. A refusal by the endpoint comes
/// back as its own error code; an answer that does not decode is `lost`.
template <class Answer, class Request>
result<Answer> call_endpoint(http_connection& connection, std::string_view path,
                             const Request& request, std::int64_t timeout_ms,
                             std::string_view seat = {});

/// The endpoint's refusal in an answer's body.
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
