#ifndef TANAGERSPAN_LOAD_FLEET_CALLER_H
#define TANAGERSPAN_LOAD_FLEET_CALLER_H

// Client of a fleet with one connection to each proxy; each statement may go
// through another proxy. Not thread-safe.

#include <memory>
#include <string>
#include <vector>

#include "coordination/statement.h"
#include "protocol/caller_messages.h"
#include "transport/http_connection.h"

namespace tanagerspan
{

/// A response as the caller received it. `age_ms_` is -1 if unknown.
struct caller_answer
{
    outcome outcome_ = outcome::unknown;
    error_code error_ = error_code::lost;
    std::vector<operation_result> results_;
    std::string token_;
    bool by_replica_ = false;
    std::int64_t age_ms_ = -1;
};

class fleet_caller
{
public:
    explicit fleet_caller(const std::vector<std::string>& proxies);

    /// Sends one statement through one proxy. The outcome is not_run if the
    /// connection fails, and unknown if no response arrives.
    caller_answer send(std::size_t proxy, const statement_request& request,
                       std::int64_t timeout_ms);

    std::size_t proxies() const
    {
        return connections_.size();
    }

private:
    std::vector<std::unique_ptr<http_connection>> connections_;
};

} // namespace tanagerspan

#endif
