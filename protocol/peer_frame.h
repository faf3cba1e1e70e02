#ifndef TANAGERSPAN_PROTOCOL_PEER_FRAME_H
#define TANAGERSPAN_PROTOCOL_PEER_FRAME_H

// Frames that proxies exchange. A frame is a length of four bytes, most
// significant byte first, and a msgpack array [version, type, correlation id,
// body]. The body is a record (see state/record.h) as a msgpack map.
//
// Another version, an unknown type, a length over the limit or a malformed
// body is a failure. The receiver then closes the connection, since it cannot
// rely on the bytes that follow.

#include <cstdint>
#include <optional>
#include <span>
#include <string>

#include <nlohmann/json.hpp>

#include "state/failure.h"
#include "state/input_buffer.h"

namespace tanagerspan
{

constexpr std::uint64_t peer_version = 1;
constexpr std::size_t frame_header_bytes = 4;
constexpr std::size_t max_frame_bytes = 4UL * 1024 * 1024;

enum class frame_type : std::uint8_t
{
    forward = 1,       ///< a caller's request, for a home proxy of the service
    forward_reply = 2, ///< the answer to a `forward` frame
    gossip = 3,        ///< membership and settings
    gossip_reply = 4,
    run = 5,        ///< a statement for a home proxy; see run_messages.h
    run_reply = 6,  ///< the outcome of a `run` frame
    cancel_run = 7, ///< the sender no longer waits for this run's reply
    rollback = 8,   ///< rolls back the transaction with this id
    leaving = 9,    ///< the sender accepts no new work
    probe = 10,     ///< answered immediately
    probe_reply = 11,
    command = 12,       ///< a command for an endpoint; see endpoint_command.h
    command_reply = 13, ///< the answer to a `command` frame
    relay_watch = 14,   ///< a watch at a relay; see relay_messages.h
    relay_watch_reply = 15,
    allowance = 16,      ///< a request for tokens; see allowance_messages.h
    allowance_reply = 17 ///< the answer to an `allowance` frame
};
constexpr std::uint64_t last_frame_type = 17;

struct peer_frame
{
    frame_type type_ = frame_type::gossip;
    std::uint64_t correlation_id_ = 0;
    nlohmann::json body_;
};

/// Returns the bytes of a frame, including the length.
std::string encode_frame(const peer_frame& frame);

/// Returns the length of the payload. Errors: malformed (header too short, or
/// length 0), too_large.
result<std::size_t> decode_length(std::span<const char> header);

/// Decodes the bytes after the length. Errors: malformed, bad_version.
result<peer_frame> decode_payload(std::span<const char> payload);

/// Removes one complete frame from the front of `buffer` and returns it, or
/// nullopt if `buffer` has no complete frame yet. Errors: as the functions
/// above.
result<std::optional<peer_frame>> extract_frame(input_buffer& buffer);

} // namespace tanagerspan

#endif
