#ifndef TANAGERSPAN_TRANSPORT_PEER_CONNECTIONS_H
#define TANAGERSPAN_TRANSPORT_PEER_CONNECTIONS_H

// Framed TCP between proxies (see protocol/peer_frame.h): a listener that
// answers each frame with one, and connections with one exchange at a time.
// A connection on which anything went wrong is closed and not used again.

#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <string>
#include <vector>

#include "protocol/peer_frame.h"

namespace tanagerspan
{

/// Answers a peer's frame; called by many threads at once.
using peer_handler = std::function<peer_frame(const peer_frame&)>;

class peer_listener
{
public:
    peer_listener(std::string address, int max_connections,
                  peer_handler handler);
    ~peer_listener();

    /// Errors: unavailable.
    result<void> start();
    void stop();

private:
    struct impl;
    std::unique_ptr<impl> impl_;
};

/// Connections to peers, kept open and used one exchange at a time.
/// Thread safe.
class peer_client
{
public:
    peer_client();
    ~peer_client();

    /// Errors: not_sent, lost, and those of a bad frame.
    result<nlohmann::json> exchange(const std::string& address, frame_type type,
                                    nlohmann::json body,
                                    std::int64_t timeout_ms);

    /// Bytes sent and received so far.
    std::uint64_t bytes() const;

private:
    struct impl;
    std::unique_ptr<impl> impl_;
};

} // namespace tanagerspan

#endif
