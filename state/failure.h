#ifndef TANAGERSPAN_STATE_FAILURE_H
#define TANAGERSPAN_STATE_FAILURE_H

// Error handling. Functions that can fail return `result<T>`, which holds a
// value or a `failure`: an error code and a detail text. Code branches on the
// error code only; the detail is for logs and people. The project's own code
// throws no exceptions.

#include <string>
#include <string_view>

#include <tl/expected.hpp>

namespace tanagerspan
{

/// Error codes of all libraries.
enum class error_code
{
    // Invalid input.
    malformed,     ///< not well-formed, truncated, or of a wrong type
    too_large,     ///< over a size limit
    unknown_key,   ///< a key that is not in the schema
    out_of_range,  ///< a value outside its allowed range
    bad_version,   ///< a version that this program does not support
    bad_signature, ///< a session token that this fleet did not issue
    unknown_service,
    unknown_transaction,
    not_found,
    conflict, ///< a compare-and-set failed, or a constraint was violated

    // Answers of an endpoint that guarantee that nothing was run.
    not_primary,
    fenced,
    no_slot,
    too_many_connections,
    leaving,

    // Decisions of a proxy.
    deadline_passed,
    queue_full,
    over_limit,
    not_home,
    draining,
    not_ready,
    no_primary,
    unconfirmed, ///< run by a primary, but not confirmed by a majority
    future_position,

    // Transport.
    not_sent,    ///< failed before any byte of the request was sent
    lost,        ///< failed later; the peer may have run the request
    unavailable, ///< the platform answered that it cannot serve the call now
    over_rate,   ///< rejected by the platform's rate limit; nothing was done
    compacted    ///< the requested history is no longer kept
};

/// Returns the name that answers, logs and metrics use for `code`.
std::string_view name_of(error_code code);

/// Returns the code with this name, or `malformed` if no code has it.
error_code error_code_of(std::string_view name);

/// An error code with a detail text.
struct failure
{
    error_code code_ = error_code::malformed;
    std::string detail_{}; ///< for logs and people; never parsed

    bool operator==(const failure&) const = default;
};

template <class T>
using result = tl::expected<T, failure>;

/// Returns a failure, to be returned from a function with a `result`.
inline tl::unexpected<failure> fail(error_code code, std::string detail = {})
{
    return tl::unexpected<failure>(failure{code, std::move(detail)});
}

} // namespace tanagerspan

#endif
