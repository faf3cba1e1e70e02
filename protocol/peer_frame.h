#ifndef TANAGERSPAN_PROTOCOL_PEER_FRAME_H
#define TANAGERSPAN_PROTOCOL_PEER_FRAME_H

// Frames between proxies: a length of four bytes, most significant first,
// then a msgpack array [version, type, correlation id, body]. The body is a
// record as a msgpack map (see state/record.h).
//
// A frame of another version, an unknown type, a length over the limit or a
// body that does not decode is a typed failure; the connection that it came
// on is closed, since nothing after it can be trusted.

#include <cstdint>
#include <optional>
#include <span>
#include <string>

#include <nlohmann/json.hpp>

#include "state/failure.h"

namespace tanagerspan
{

constexpr std::uint64_t peer_version = 1;
constexpr std::size_t frame_header_bytes = 4;
constexpr std::size_t max_frame_bytes = 4UL * 1024 * 1024;

enum class frame_type : std::uint8_t
{
    forward = 1,       ///< a caller's request for a service's home proxy
    forward_reply = 2, ///< its answer
    gossip = 3,        ///< membership and settings
    gossip_reply = 4,
    run = 5,        ///< a statement for a service's home, see run_messages.h
    run_reply = 6,  ///< its outcome
    cancel_run = 7, ///< the run of this correlation is not awaited any more
    rollback = 8,   ///< the transaction of this correlation is over
    leaving = 9,    ///< the sender takes no new work
    probe = 10,     ///< answered at once
    probe_reply = 11
};
constexpr std::uint64_t last_frame_type = 11;

struct peer_frame
{
    frame_type type_ = frame_type::gossip;
    std::uint64_t correlation_id_ = 0;
    nlohmann::json body_;
};

/// The frame's bytes with the length in front.
std::string encode_frame(const peer_frame& frame);

/// The payload's length. Errors: malformed (short header), too_large.
result<std::size_t> decode_length(std::span<const char> header);

/// Errors: malformed, bad_version.
result<peer_frame> decode_payload(std::span<const char> payload);

/// Removes one whole frame from the front of `buffer`; nullopt when more
/// bytes are needed. Errors: as the functions above.
result<std::optional<peer_frame>> extract_frame(std::string& buffer);

} // namespace tanagerspan

#endif
