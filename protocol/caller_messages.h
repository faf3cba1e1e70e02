#ifndef TANAGERSPAN_PROTOCOL_CALLER_MESSAGES_H
#define TANAGERSPAN_PROTOCOL_CALLER_MESSAGES_H

// Requests of callers and the answers to them: JSON bodies over HTTP/1.1, as
// specified in docs/API.md. Every answer has an outcome: done, not_run or
// unknown.

#include <string>
#include <vector>

#include "coordination/statement.h"
#include "state/endpoint_records.h"

namespace tanagerspan
{

/// Size limit of a request's body.
constexpr std::size_t max_body_bytes = 1024UL * 1024;

/// A statement, on its own or in a transaction.
struct statement_request
{
    std::string service_;
    std::string class_;
    std::vector<operation> operations_;
    std::string request_id_;
    std::int64_t max_age_ms_ = -1;  ///< -1: the setting of the class
    std::int64_t deadline_ms_ = -1; ///< -1: the setting of the class
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

/// A request to commit a transaction.
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

/// An HTTP answer: status and body.
struct http_answer
{
    int status_ = 200;
    std::string body_;
};

/// Returns the HTTP status for a failure; 504 if the outcome is unknown.
int http_status_of(error_code code, outcome what);

/// Converts the answer to a statement; `token` is the session's new token.
http_answer to_http(const statement_answer& answer, const std::string& token);

/// Converts a failure and its outcome.
http_answer to_http(const failure& cause, outcome what);

} // namespace tanagerspan

#endif
