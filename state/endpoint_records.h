#ifndef TANAGERSPAN_STATE_ENDPOINT_RECORDS_H
#define TANAGERSPAN_STATE_ENDPOINT_RECORDS_H

// Records that proxies and endpoints of a database group exchange. The
// assumptions behind each record are listed in docs/STAND-INS.md.
//
// Terms: an endpoint that has promised a term refuses every order, statement
// and replicated entry of a lower term. A term has one claimant; an endpoint
// promises a term to the first claimant that asks. A primary appends an entry
// of its own at the start of its term.

#include <string>
#include <vector>

#include "state/log_position_record.h"
#include "state/record.h"

namespace tanagerspan
{

/// One operation of a statement: get, list, put, insert, remove or add.
/// `add` adds to a numeric value; it is not idempotent, so that a statement
/// that is run twice is visible in the data.
struct operation
{
    std::string op_;
    std::string key_;
    std::string value_;

    bool operator==(const operation&) const = default;
};

constexpr std::int64_t max_key_bytes = 512;
constexpr std::int64_t max_value_bytes = 65536;

constexpr auto fields_of(const operation*)
{
    return std::tuple{
        field{
            "op", &operation::op_, {.min_ = 1, .max_ = 16, .required_ = true}},
        field{"key",
              &operation::key_,
              {.min_ = 1, .max_ = max_key_bytes, .required_ = true}},
        field{"value", &operation::value_, {.max_ = max_value_bytes}}};
}

/// Result of one operation. `rows_` alternates keys and values.
struct operation_result
{
    bool found_ = false;
    std::string value_;
    std::vector<std::string> rows_;

    bool operator==(const operation_result&) const = default;
};

constexpr auto fields_of(const operation_result*)
{
    return std::tuple{field{"found", &operation_result::found_},
                      field{"value", &operation_result::value_},
                      field{"rows", &operation_result::rows_}};
}

/// Returns true if the operation changes no data.
inline bool is_read(const operation& op)
{
    return op.op_ == "get" || op.op_ == "list";
}

/// Returns true if `op_` names a supported operation.
inline bool is_known(const operation& op)
{
    return is_read(op) || op.op_ == "put" || op.op_ == "insert" ||
           op.op_ == "remove" || op.op_ == "add";
}

/// A write, which only the primary of exactly `term_` runs. If `request_id_`
/// is set, the endpoint records it and the results in the same transaction
/// as the changes, so that a retry is idempotent.
struct execute_request
{
    std::uint64_t term_ = 0;
    std::string request_id_;
    std::vector<operation> operations_;
};

constexpr auto fields_of(const execute_request*)
{
    return std::tuple{field{"term", &execute_request::term_},
                      field{"request_id", &execute_request::request_id_},
                      field{"operations", &execute_request::operations_}};
}

/// Answer to a write. `position_` is the end of the log including the
/// changes. If the request id was recorded before, the answer has the
/// results of the first run and `replayed_` is set.
struct execute_answer
{
    log_position position_;
    bool replayed_ = false;
    std::vector<operation_result> results_;
};

constexpr auto fields_of(const execute_answer*)
{
    return std::tuple{field{"position", &execute_answer::position_},
                      field{"replayed", &execute_answer::replayed_},
                      field{"results", &execute_answer::results_}};
}

/// A read at any endpoint. An endpoint whose log ends before `at_least_`
/// waits up to `wait_ms_`, then answers with its current position.
struct read_request
{
    log_position at_least_;
    std::int64_t wait_ms_ = 0;
    std::vector<operation> operations_;
};

constexpr auto fields_of(const read_request*)
{
    return std::tuple{field{"at_least", &read_request::at_least_},
                      field{"wait_ms", &read_request::wait_ms_},
                      field{"operations", &read_request::operations_}};
}

/// A long-polling status query. The endpoint answers once the end of its log
/// differs from `known_` or its promised term differs from
/// `known_promised_`, and after `wait_ms_` at the latest.
struct status_request
{
    log_position known_;
    std::uint64_t known_promised_ = 0;
    std::int64_t wait_ms_ = 0;
};

constexpr auto fields_of(const status_request*)
{
    return std::tuple{field{"known", &status_request::known_},
                      field{"known_promised", &status_request::known_promised_},
                      field{"wait_ms", &status_request::wait_ms_}};
}

/// Status that an endpoint reports.
struct member_status
{
    std::uint64_t promised_ = 0; ///< highest promised term
    std::string claimant_;       ///< claimant of the promised term
    log_position position_;      ///< end of the applied log
    bool leading_ = false;       ///< true for the primary of the promised term
    bool leaving_ = false;       ///< true if no new work is accepted
    /// Time since the endpoint last received a message from a primary, in ms.
    std::int64_t primary_silence_ms_ = 0;

    bool operator==(const member_status&) const = default;
};

constexpr auto fields_of(const member_status*)
{
    return std::tuple{
        field{"promised", &member_status::promised_},
        field{"claimant", &member_status::claimant_},
        field{"position", &member_status::position_},
        field{"leading", &member_status::leading_},
        field{"leaving", &member_status::leaving_},
        field{"primary_silence_ms", &member_status::primary_silence_ms_}};
}

/// A request to promise `term_` to `claimant_`, or the order to become primary
/// of that term.
struct term_order
{
    std::uint64_t term_ = 0;
    std::string claimant_;
};

constexpr auto fields_of(const term_order*)
{
    return std::tuple{
        field{"term", &term_order::term_, {.min_ = 1, .required_ = true}},
        field{"claimant",
              &term_order::claimant_,
              {.min_ = 1, .max_ = 128, .required_ = true}}};
}

/// Wire form of `failure`: the code's name and the detail.
struct failure_record
{
    std::string error_;
    std::string detail_;
};

constexpr auto fields_of(const failure_record*)
{
    return std::tuple{field{"error", &failure_record::error_},
                      field{"detail", &failure_record::detail_}};
}

} // namespace tanagerspan

#endif
