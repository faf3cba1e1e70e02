#ifndef TANAGERSPAN_PROTOCOL_CALLER_MESSAGES_H
#define TANAGERSPAN_PROTOCOL_CALLER_MESSAGES_H

// Requests and answers of callers, as they stand in docs/API.md: JSON bodies
// over HTTP/1.1. Every answer names its outcome: done, not_run or unknown.

#include <string>
#include <vector>

#include "coordination/statement.h"
#include "state/endpoint_records.h"

namespace tanagerspan
{

/// The largest body that a caller may send, in bytes.
constexpr std::size_t max_body_bytes = 1024UL * 1024;

/// A single statement, or one inside a transaction.
struct statement_request
{
    std::string service_;
    std::string class_;
    std::vector<operation> operations_;
    std::string request_id_;
    std::int64_t max_age_ms_ = -1;  ///< -1: as the class says
    std::int64_t deadline_ms_ = -1; ///< -1: as the class says
    std::string token_;
};

constexpr auto fields_of(const statement_request*)
{
    return std::tuple{
        field{"service",
              &statement_request::service_,
              {.min_ = 1, .max_ = 129, .required_ = true}},
        field{"class", &statement_request::class_, {.max_ = 64}},
        field{"operations",
              &statement_request::operations_,
              {.max_ = 100, .required_ = true}},
        field{"request_id", &statement_request::request_id_, {.max_ = 128}},
        field{"max_age_ms",
              &statement_request::max_age_ms_,
              {.min_ = -1, .max_ = 3'600'000}},
        field{"deadline_ms",
              &statement_request::deadline_ms_,
              {.min_ = -1, .max_ = 60'000}},
        field{"token", &statement_request::token_, {.max_ = 8192}}};
}

/// The end of a transaction.
struct commit_request
{
    std::string service_;
    std::string class_;
    std::string request_id_;
    std::int64_t deadline_ms_ = -1;
    std::string token_;
};

constexpr auto fields_of(const commit_request*)
{
    return std::tuple{
        field{"service",
              &commit_request::service_,
              {.min_ = 1, .max_ = 129, .required_ = true}},
        field{"class", &commit_request::class_, {.max_ = 64}},
        field{"request_id", &commit_request::request_id_, {.max_ = 128}},
        field{"deadline_ms",
              &commit_request::deadline_ms_,
              {.min_ = -1, .max_ = 60'000}},
        field{"token", &commit_request::token_, {.max_ = 8192}}};
}

/// An answer as HTTP carries it.
struct http_answer
{
    int status_ = 200;
    std::string body_;
};

/// The HTTP status of a failure.
int http_status_of(error_code code, outcome what);

/// The body of a statement's answer, with the session's token after it.
http_answer to_http(const statement_answer& answer, const std::string& token);

/// The body of a failure with its outcome.
http_answer to_http(const failure& cause, outcome what);

} // namespace tanagerspan

#endif
