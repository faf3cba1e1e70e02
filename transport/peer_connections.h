#ifndef TANAGERSPAN_TRANSPORT_PEER_CONNECTIONS_H
#define TANAGERSPAN_TRANSPORT_PEER_CONNECTIONS_H

// Connections between proxies that carry frames (see protocol/peer_frame.h):
// a listener that answers each frame with one frame, and a client whose
// connections have one exchange at a time. A connection is closed after an
// error and not reused.

#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <string>
#include <vector>

#include "protocol/peer_frame.h"

namespace tanagerspan
{

/// Answers a peer's frame. Called by several threads concurrently.
using peer_handler = std::function<peer_frame(const peer_frame&)>;

/// Accepts connections of other proxies; each has a thread.
class peer_listener
{
public:
    peer_listener(std::string address, int max_connections,
                  peer_handler handler);
    ~peer_listener();

    /// Starts listening. Errors: unavailable (the address cannot be bound).
    result<void> start();
    void stop();

private:
    struct impl;
    std::unique_ptr<impl> impl_;
};

/// Sends frames to other proxies over connections that are kept open.
/// Thread-safe.
class peer_client
{
public:
    peer_client();
    ~peer_client();

    /// Sends a frame and returns the body of the answer. Blocks for up to
    /// `timeout_ms` in each socket operation. Errors: not_sent, lost, and those
    /// of decode_length and decode_payload.
    result<nlohmann::json> exchange(const std::string& address, frame_type type,
                                    nlohmann::json body,
                                    std::int64_t timeout_ms);

    /// Total bytes sent and received in completed exchanges.
    std::uint64_t bytes() const;

private:
    struct impl;
    std::unique_ptr<impl> impl_;
};

} // namespace tanagerspan

#endif
