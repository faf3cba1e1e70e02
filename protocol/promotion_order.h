#ifndef TANAGERSPAN_PROTOCOL_PROMOTION_ORDER_H
#define TANAGERSPAN_PROTOCOL_PROMOTION_ORDER_H

// The order to make an endpoint the primary of its service. It has a fencing
// token: the platform refuses an order whose token is lower than one that it
// received before for the service, so that a delayed order has no effect. An
// order whose answer was lost may still be executed seconds later.

#include <cstdint>
#include <functional>
#include <string>

#include "state/failure.h"

namespace tanagerspan
{

struct promotion_order
{
    std::string service_;
    std::string endpoint_id_;
    std::string holder_; ///< the host that holds the fencing token
    std::int64_t token_ = 0;
};

/// The platform's interface for promotions.
class promotion_service
{
public:
    using order_handler = std::function<void(result<void>)>;

    virtual ~promotion_service() = default;

    /// Sends an order and calls `done` with the answer. Errors: fenced (a
    /// higher token was received, or the endpoint is not running), over_rate,
    /// unavailable, not_sent, lost (the order may have been executed, or be
    /// executed later).
    virtual void promote(const promotion_order& order, order_handler done) = 0;
};

} // namespace tanagerspan

#endif
