#ifndef TANAGERSPAN_PROTOCOL_ENDPOINT_COMMAND_H
#define TANAGERSPAN_PROTOCOL_ENDPOINT_COMMAND_H

// Messages between proxies: a command for an endpoint that the sender does not
// reach, and the endpoint's answer. The receiver passes the command on over a
// connection of its own. Only commands of a takeover are passed on; see
// coordination/takeover.h.

#include <cstdint>
#include <string>
#include <tuple>

#include "state/record.h"
#include "state/session_messages.h"

namespace tanagerspan
{

/// Body of a `command` frame.
struct endpoint_command
{
    std::string service_;
    std::string endpoint_id_;
    std::string address_;
    std::int64_t kind_ = 0; ///< a `statement_kind`
    std::uint64_t term_ = 0;
};

constexpr auto fields_of(const endpoint_command*)
{
    using c = endpoint_command;
    constexpr auto last_kind =
        static_cast<std::int64_t>(statement_kind::unknown);
    return std::tuple{field{"sv", &c::service_}, field{"id", &c::endpoint_id_},
                      field{"a", &c::address_},
                      field{"k", &c::kind_, {.min_ = 0, .max_ = last_kind}},
                      field{"t", &c::term_}};
}

/// Whether proxies pass on commands of this kind. A resume is not: the sender
/// could not tell whether a copy of it is still on its way.
constexpr bool is_relayed(statement_kind kind)
{
    return kind == statement_kind::status ||
           kind == statement_kind::pause_receiving ||
           kind == statement_kind::step_down;
}

/// Body of a `command_reply` frame.
struct endpoint_command_reply
{
    /// False: the receiver got no answer; the command may have been carried
    /// out. The other members are then not set.
    bool answered_ = false;
    bool primary_ = false;
    std::uint64_t term_ = 0;
    std::uint64_t received_term_ = 0;
    std::uint64_t received_index_ = 0;
    std::uint64_t paused_by_term_ = 0;
    std::int64_t lag_ms_ = 0;
};

constexpr auto fields_of(const endpoint_command_reply*)
{
    using r = endpoint_command_reply;
    return std::tuple{field{"ok", &r::answered_},
                      field{"p", &r::primary_},
                      field{"t", &r::term_},
                      field{"rt", &r::received_term_},
                      field{"ri", &r::received_index_},
                      field{"pt", &r::paused_by_term_},
                      field{"l", &r::lag_ms_}};
}

constexpr endpoint_status status_of(const endpoint_command_reply& from)
{
    return {.primary_ = from.primary_,
            .term_ = from.term_,
            .received_ = {from.received_term_, from.received_index_},
            .paused_by_term_ = from.paused_by_term_,
            .lag_ms_ = from.lag_ms_};
}

constexpr endpoint_command_reply reply_of(const endpoint_status& from)
{
    return {.answered_ = true,
            .primary_ = from.primary_,
            .term_ = from.term_,
            .received_term_ = from.received_.term_,
            .received_index_ = from.received_.index_,
            .paused_by_term_ = from.paused_by_term_,
            .lag_ms_ = from.lag_ms_};
}

} // namespace tanagerspan

#endif
