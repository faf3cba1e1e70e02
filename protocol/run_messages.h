#ifndef TANAGERSPAN_PROTOCOL_RUN_MESSAGES_H
#define TANAGERSPAN_PROTOCOL_RUN_MESSAGES_H

// What a proxy sends to a home of a service: one statement with all that its
// run depends on, and the outcome that comes back.
//
// Clocks of hosts differ, so instants travel as ages. An age is taken when
// the message is made and applied when it is read: the time on the way makes
// things look younger than they are, never older. For the arrival that only
// gives the statement a little more time; a session's own commit then counts
// as later than it was, which asks for more, never for less.
//
// Field names on the wire are short, since they travel with each statement.
// The conversion functions are inverse to each other up to that age. Decoded
// messages are checked: a value out of range is a typed failure.

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

/// A run as its parts; what is sent and what the home works with.
struct remote_statement
{
    statement statement_;
    std::optional<prepared_shape> shape_{};
    bool writes_ = false;
    std::optional<statement_kind> begin_{};
    /// The transaction it belongs to, by the sender's number; 0: none, or one
    /// that this statement begins.
    std::uint64_t transaction_ = 0;
    database_route route_{};
    instant arrived_{};
    std::map<std::string, std::string> values_{};
    std::optional<position_need> own_commit_{};
    /// The home runs it whatever it knows; else it may say that another home
    /// would serve it better.
    bool must_accept_ = false;
};

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
    std::int64_t begin_ = 0; ///< 0: none, 1: plain, 2: read only
    std::uint64_t transaction_ = 0;
    std::string route_;
    std::string database_;
    std::string service_;
    std::int64_t consistency_ = 0;
    std::int64_t timeout_ms_ = 0;
    std::int64_t target_latency_ms_ = 0;
    std::int64_t max_staleness_ms_ = 0;
    std::int64_t priority_ = 0;
    std::int64_t age_ms_ = 0; ///< since the statement arrived
    std::map<std::string, std::string> values_;
    bool has_commit_ = false;
    std::uint64_t commit_term_ = 0;
    std::uint64_t commit_index_ = 0;
    std::int64_t commit_age_ms_ = 0;
    bool must_accept_ = false;
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
        field{"lr", &r::must_accept_}};
}

run_request to_run_request(const remote_statement& from, instant now);
remote_statement from_run_request(const run_request& from, instant now);

/// How a run at a home ended.
struct remote_outcome
{
    /// The home does not serve the service, or does not reach the endpoint
    /// that is needed: nothing ran.
    bool not_served_ = false;
    reply answer_{};
    bool transaction_open_ = false; ///< the home keeps the transaction
    bool rolled_back_ = false;
};

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
