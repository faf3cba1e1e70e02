#ifndef TANAGERSPAN_STATE_FAILURE_H
#define TANAGERSPAN_STATE_FAILURE_H

// Every failure has a type. A `failure` is an error code with a detail for
// people; programs decide by the code alone. Functions that can fail return
// `result<T>`, and nothing in the project's own code throws.

#include <string>
#include <string_view>

#include <tl/expected.hpp>

namespace tanagerspan
{

/// All failures that cross a module's border.
enum class error_code
{
    // Input that cannot be used.
    malformed,     ///< not well-formed, truncated, or of a wrong type
    too_large,     ///< over a stated size limit
    unknown_key,   ///< a key that the schema does not have
    out_of_range,  ///< a value outside its allowed range
    bad_version,   ///< a version that this program does not speak
    bad_signature, ///< a session token that this fleet did not issue
    unknown_service,
    unknown_transaction,
    not_found,
    conflict, ///< a compare-and-set lost, or a constraint was violated

    // Answers of an endpoint that prove that nothing was run.
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
    not_sent,    ///< failed before the first byte of the request went out
    lost,        ///< failed after that; the peer may have acted
    unavailable, ///< the platform answered that it cannot serve now
    over_rate,   ///< the platform turned the call away; nothing was done
    compacted    ///< the history asked for is no longer kept
};

/// The code's name as it stands in answers, logs and metrics.
std::string_view name_of(error_code code);

/// The code of a name; `malformed` for a name that is none.
error_code error_code_of(std::string_view name);

/// A typed failure; `detail_` is for people only.
struct failure
{
    error_code code_ = error_code::malformed;
    std::string detail_{};

    bool operator==(const failure&) const = default;
};

template <class T>
using result = tl::expected<T, failure>;

inline tl::unexpected<failure> fail(error_code code, std::string detail = {})
{
    return tl::unexpected<failure>(failure{code, std::move(detail)});
}

} // namespace tanagerspan

#endif
