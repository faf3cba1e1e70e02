#ifndef TANAGERSPAN_PROTOCOL_TRANSACTION_MESSAGES_H
#define TANAGERSPAN_PROTOCOL_TRANSACTION_MESSAGES_H

// Transaction requests from callers to proxies and from proxies to endpoints.

#include <string>
#include <vector>

#include "state/endpoint_records.h"

namespace tanagerspan
{

/// A caller's request to begin a transaction at a service.
struct begin_request
{
    std::string service_;
};

constexpr auto fields_of(const begin_request*)
{
    return std::tuple{field{"service",
                            &begin_request::service_,
                            {.min_ = 1, .max_ = 129, .required_ = true}}};
}

/// A caller's statement in a transaction.
struct transaction_statement
{
    std::vector<operation> operations_;
};

constexpr auto fields_of(const transaction_statement*)
{
    return std::tuple{field{"operations",
                            &transaction_statement::operations_,
                            {.min_ = 1, .max_ = 100, .required_ = true}}};
}

/// A begin, statement, commit or rollback at an endpoint.
struct endpoint_transaction
{
    std::uint64_t term_ = 0;
    std::string handle_;
    std::string request_id_;
    std::vector<operation> operations_;
};

constexpr auto fields_of(const endpoint_transaction*)
{
    return std::tuple{field{"term", &endpoint_transaction::term_},
                      field{"handle", &endpoint_transaction::handle_},
                      field{"request_id", &endpoint_transaction::request_id_},
                      field{"operations", &endpoint_transaction::operations_}};
}

} // namespace tanagerspan

#endif
