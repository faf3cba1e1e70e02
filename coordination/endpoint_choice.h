#ifndef TANAGERSPAN_COORDINATION_ENDPOINT_CHOICE_H
#define TANAGERSPAN_COORDINATION_ENDPOINT_CHOICE_H

// Which endpoint of a service gets the next statement.
//
// The primary's work goes to the one that leads. Reads go to the endpoint
// where they are expected to be answered soonest: by its recent answer time
// and what this proxy has there already, over its slots. The primary is
// counted as busier than it looks from here, because all writes need it.
// Endpoints that failed lately are used only when no other can be; if all
// did, they are used all the same, since a wrong suspicion must not refuse
// work. One that is to leave gets no read while another stays. A replica known
// to lack the position that a read needs is passed over.
//
// Pure: no clock, no I/O. Not thread safe.

#include <cstdint>
#include <optional>
#include <span>
#include <vector>

#include "state/instant.h"
#include "state/log_position.h"

namespace tanagerspan
{

/// What one proxy knows of an endpoint at the moment of choosing.
struct endpoint_candidate
{
    bool primary_ = false;
    bool leaving_ = false;
    bool same_data_centre_ = false;
    bool connection_available_ =
        false; ///< a connection is idle or may be opened
    std::int64_t running_ = 0;
    std::int64_t slots_ = 1;
    double answer_ms_ = 0;          ///< recent mean, 0 while unknown
    instant avoided_until_ = never; ///< after a failure
    double lag_ms_ = 0;          ///< how late it is believed to receive the log
    log_position last_position_; ///< position of its last answer
};

/// What a read needs to have seen, and since when that position is known.
struct required_position
{
    log_position position_;
    instant known_since_;
};

/// The primary to use; nullopt where none has room or is known.
std::optional<std::size_t>
choose_primary(std::span<const endpoint_candidate> endpoints);

/// Any endpoint for a read, but none of `excluded` (indexes).
std::optional<std::size_t>
choose_for_read(std::span<const endpoint_candidate> endpoints,
                const std::optional<required_position>& need,
                std::span<const std::size_t> excluded, instant now);

} // namespace tanagerspan

#endif
