#ifndef TANAGERSPAN_PROTOCOL_PROMOTION_ORDER_H
#define TANAGERSPAN_PROTOCOL_PROMOTION_ORDER_H

// The order that makes one endpoint of a service its primary. It carries a
// fencing token: an order with a lower token than one already seen for the
// service is refused, also when it travelled for a long time. An order whose
// answer was lost may be carried out seconds later.

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
    std::string holder_; ///< the host whose token it is
    std::int64_t token_ = 0;
};

class promotion_service
{
public:
    using order_handler = std::function<void(result<void>)>;

    virtual ~promotion_service() = default;

    /// Errors: fenced (a higher token was seen, or the endpoint does not
    /// run), over_rate, unavailable, not_sent, lost.
    virtual void promote(const promotion_order& order, order_handler done) = 0;
};

} // namespace tanagerspan

#endif
