#ifndef TANAGERSPAN_PROTOCOL_RUN_MESSAGES_H
#define TANAGERSPAN_PROTOCOL_RUN_MESSAGES_H

// Messages between a proxy and a home proxy of a service: a statement with
// everything that its execution depends on, and the outcome.
//
// Hosts have different clocks, so instants are sent as ages. The sender
// computes an age when it builds the message and the receiver subtracts the
// age from its own clock, so the transit time makes an instant appear later
// than it was, never earlier. For the arrival this extends the deadline by the
// transit time. A session's own commit appears later, which makes the
// freshness requirement of a read stricter, never weaker.
//
// Keys are short because every forwarded statement carries them. Encoding and
// decoding are inverse to each other except for the transit time. Decoding
// checks ranges.

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <tuple>
#include <vector>

#include "coordination/endpoint_choice.h"
#include "coordination/session_replay.h"
#include "state/instant.h"
#include "state/record.h"
#include "state/service_catalogue.h"
#include "state/session_messages.h"

namespace tanagerspan
{

/// A statement to run at a home proxy, in decoded form.
struct remote_statement
{
    statement statement_;
    std::optional<prepared_statement> shape_{};
    bool writes_ = false;
    std::optional<statement_kind> begin_{};
    /// The sender's number of the statement's transaction; 0 if there is none
    /// or if this statement begins it.
    std::uint64_t transaction_ = 0;
    database_route route_{};
    std::string account_{}; ///< the client account; empty on a public route
    instant arrived_{};
    std::map<std::string, std::string> values_{};
    std::optional<position_requirement> own_commit_{};
    /// If set, the home runs the statement in any case. Otherwise it may
    /// decline, so that the sender tries another home.
    bool must_accept_ = false;
    /// If set, the home may send the statement only until then.
    std::optional<instant> valid_until_{};
};

/// Wire form of `remote_statement`, with instants as ages.
struct run_request
{
    std::int64_t kind_ = 0;
    std::string id_;
    std::string name_;
    std::string arguments_;
    bool writes_ = false;
    bool has_shape_ = false;
    bool shape_writes_ = false;
    std::string shape_;
    std::int64_t begin_ = 0; ///< 0: none, 1: read-write, 2: read-only
    std::uint64_t transaction_ = 0;
    std::string route_;
    std::string database_;
    std::string service_;
    std::string account_;
    std::int64_t consistency_ = 0;
    std::int64_t timeout_ms_ = 0;
    std::int64_t target_latency_ms_ = 0;
    std::int64_t max_staleness_ms_ = 0;
    std::int64_t priority_ = 0;
    std::int64_t age_ms_ = 0; ///< time since the statement's arrival
    std::map<std::string, std::string> values_;
    bool has_commit_ = false;
    std::uint64_t commit_term_ = 0;
    std::uint64_t commit_index_ = 0;
    std::int64_t commit_age_ms_ = 0;
    bool must_accept_ = false;
    bool has_validity_ = false;
    std::int64_t valid_ms_ = 0; ///< how much longer it may be sent
};

constexpr auto fields_of(const run_request*)
{
    using r = run_request;
    constexpr auto last_kind =
        static_cast<std::int64_t>(statement_kind::unknown);
    constexpr auto last_rule =
        static_cast<std::int64_t>(read_consistency::read_your_writes);
    return std::tuple{
        field{"k", &r::kind_, {.min_ = 0, .max_ = last_kind}},
        field{"id", &r::id_},
        field{"n", &r::name_},
        field{"a", &r::arguments_},
        field{"w", &r::writes_},
        field{"hs", &r::has_shape_},
        field{"sw", &r::shape_writes_},
        field{"s", &r::shape_},
        field{"b", &r::begin_, {.min_ = 0, .max_ = 2}},
        field{"t", &r::transaction_},
        field{"r", &r::route_},
        field{"d", &r::database_},
        field{"sv", &r::service_},
        field{"ac", &r::account_},
        field{"ru", &r::consistency_, {.min_ = 0, .max_ = last_rule}},
        field{"to", &r::timeout_ms_, {.min_ = 0}},
        field{"tl", &r::target_latency_ms_, {.min_ = 0}},
        field{"ms", &r::max_staleness_ms_, {.min_ = 0}},
        field{"p", &r::priority_},
        field{"age", &r::age_ms_, {.min_ = 0}},
        field{"v", &r::values_},
        field{"hc", &r::has_commit_},
        field{"ct", &r::commit_term_},
        field{"ci", &r::commit_index_},
        field{"ca", &r::commit_age_ms_, {.min_ = 0}},
        field{"lr", &r::must_accept_},
        field{"hv", &r::has_validity_},
        field{"vl", &r::valid_ms_, {.min_ = 0}}};
}

/// Converts to the wire form; `now` is the sender's time.
run_request to_run_request(const remote_statement& from, instant now);
/// Converts from the wire form; `now` is the receiver's time.
remote_statement from_run_request(const run_request& from, instant now);

/// The outcome of a statement at a home proxy.
struct remote_outcome
{
    /// The home does not serve the service or cannot reach the endpoint that
    /// the statement needs. Nothing was run.
    bool not_served_ = false;
    reply answer_{};
    bool transaction_open_ = false; ///< the home keeps the transaction open
    bool rolled_back_ = false;
};

/// Wire form of `remote_outcome`.
struct run_reply
{
    bool not_served_ = false;
    std::vector<std::string> rows_;
    std::int64_t error_ = -1; ///< -1: none
    std::string text_;
    std::int64_t state_ = 0;
    bool has_position_ = false;
    std::uint64_t term_ = 0;
    std::uint64_t index_ = 0;
    bool transaction_open_ = false;
    bool rolled_back_ = false;
};

constexpr auto fields_of(const run_reply*)
{
    using r = run_reply;
    constexpr auto last_error =
        static_cast<std::int64_t>(reply_error::in_doubt);
    constexpr auto last_state =
        static_cast<std::int64_t>(transaction_state::failed);
    return std::tuple{field{"nh", &r::not_served_},
                      field{"rows", &r::rows_},
                      field{"e", &r::error_, {.min_ = -1, .max_ = last_error}},
                      field{"x", &r::text_},
                      field{"st", &r::state_, {.min_ = 0, .max_ = last_state}},
                      field{"hp", &r::has_position_},
                      field{"t", &r::term_},
                      field{"i", &r::index_},
                      field{"o", &r::transaction_open_},
                      field{"rb", &r::rolled_back_}};
}

run_reply to_run_reply(const remote_outcome& from);
remote_outcome from_run_reply(const run_reply& from);

} // namespace tanagerspan

#endif
