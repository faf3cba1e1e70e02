#ifndef TANAGERSPAN_COORDINATION_TAKEOVER_ROW_H
#define TANAGERSPAN_COORDINATION_TAKEOVER_ROW_H

// The stored row of a service's takeovers: the host that carries out the
// current attempt, and the commands of earlier attempts that may still take
// effect.
//
// A command that got no answer may take effect seconds later. Commands are
// therefore recorded before they are sent, and each claim copies them from the
// previous row until they are known to be answered or are older than
// `max_command_delay_ms`:
//
//   - `ordered_`: the endpoint that a pending promotion order names. Later
//     attempts order the same endpoint only.
//   - `resumed_`: replicas that a pending resume command may reach at any
//     time. A confirmed pause of such a replica proves nothing.
//   - `floor_`: the end of the last ordered endpoint's log, and `term_`: the
//     term that its promotion starts. Neither is ever lowered, except that the
//     term becomes the one that the promoted endpoint reports.
//
// The clocks of hosts are not compared: a row stores ages at the time of
// writing, and a reader adds the time since it received the row. The reader may
// underestimate the age of a command, but never overestimates it.
//
// The store may come back from an older copy, without the latest rows. Each
// host then keeps the later of the row that it knows and the stored one, and
// writes it back; `is_earlier` tells which one that is.
//
// Pure. Any thread.

#include <cstdint>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "state/instant.h"
#include "state/log_position_record.h"
#include "state/record.h"

namespace tanagerspan
{

/// A command without an answer takes effect within this time or never: the 12
/// seconds that the platform states, one second for the promotion itself and
/// one second for the network.
constexpr std::int64_t max_command_delay_ms = 14'000;

struct takeover_row
{
    std::int64_t token_ = 0; ///< fencing token; every claim increases it
    std::string holder_;     ///< the host that made the claim
    std::string endpoint_;   ///< the ordered endpoint; when done, the primary
    std::string stage_;      ///< claimed, ordered, done, given_up
    std::string ordered_{};  ///< empty: no promotion order is pending
    /// Time since the last order when the row was written. Negative: orders
    /// may still be sent for that long.
    std::int64_t ordered_age_ms_ = 0;
    log_position floor_{};
    std::uint64_t term_ = 0;
    std::vector<std::string> resumed_{};
    std::int64_t resumed_age_ms_ = 0; ///< like `ordered_age_ms_`
};

constexpr auto fields_of(const takeover_row*)
{
    return std::tuple{field{"token", &takeover_row::token_, {.min_ = 0}},
                      field{"holder", &takeover_row::holder_},
                      field{"endpoint", &takeover_row::endpoint_},
                      field{"stage", &takeover_row::stage_},
                      field{"ordered", &takeover_row::ordered_},
                      field{"ordered_age_ms", &takeover_row::ordered_age_ms_},
                      field{"floor", &takeover_row::floor_},
                      field{"term", &takeover_row::term_},
                      field{"released", &takeover_row::resumed_},
                      field{"released_age_ms", &takeover_row::resumed_age_ms_}};
}

/// Commands that may still take effect after the attempt that sent them. The
/// members are those of `takeover_row`.
struct pending_commands
{
    std::optional<std::string> ordered_{};
    std::int64_t ordered_age_ms_ = 0;
    std::vector<std::string> resumed_{};
    std::int64_t resumed_age_ms_ = 0;
};

/// The commands that are still pending in a row received `since_ms` ago.
pending_commands pending_commands_of(const takeover_row& row,
                                     std::int64_t since_ms);

/// A promotion order that may take effect.
struct pending_promotion
{
    std::string endpoint_id_; ///< empty: no order is pending
    instant until_ = never;   ///< no longer pending from then on

    bool operator==(const pending_promotion&) const = default;
};

/// The order that may still replace the primary, by a row and the time of its
/// receipt.
pending_promotion pending_promotion_of(const takeover_row& row,
                                       instant received_at);

/// Whether `row` precedes `other` in the history of a service's takeovers: by
/// token, then by stage.
bool is_earlier(const takeover_row& row, const takeover_row& other);

/// The row to write back, `since_ms` after it was received.
takeover_row make_restored_row(const takeover_row& known,
                               std::int64_t since_ms);

/// The lowest token of claims in an era of the store: above those of earlier
/// eras, which no host may remember.
constexpr std::int64_t first_token(std::int64_t era)
{
    constexpr std::int64_t tokens_per_era = 1'000'000;
    return era * tokens_per_era;
}

/// The row of a new claim that replaces `seen`, received `since_ms` ago.
takeover_row make_claim_row(const takeover_row& seen, std::int64_t since_ms,
                            const std::string& holder);

/// The row that is recorded before an order for `target` is sent. The promotion
/// starts `term` with a log that ends at `floor`. The attempt may send the
/// order again for `lease_ms`.
takeover_row make_order_row(const takeover_row& claim,
                            const std::string& target, std::uint64_t term,
                            log_position floor, std::int64_t lease_ms);

/// The row that ends an attempt. `primary` is the primary, empty if unknown.
/// `promoted_term` is the term in which the ordered endpoint was seen as
/// primary, 0 if it was not seen.
takeover_row make_end_row(const takeover_row& held, const std::string& primary,
                          const pending_commands& pending,
                          std::uint64_t promoted_term);

} // namespace tanagerspan

#endif
