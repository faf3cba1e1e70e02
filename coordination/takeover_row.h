#ifndef TANAGERSPAN_COORDINATION_TAKEOVER_ROW_H
#define TANAGERSPAN_COORDINATION_TAKEOVER_ROW_H

// The row in the store that says who attends to a service's primary, and what
// of earlier attempts may still be carried out.
//
// Orders without an answer travel for seconds. What may be under way is
// therefore written before it is sent and stays in the row, from holder to
// holder, until it is known to be answered or has outlived its travel:
//
//   - `ordered_`: the only endpoint that a promotion under way can name. Each
//     later attempt names the same one.
//   - `released_`: replicas whose release may arrive at any time. A hold of
//     such a replica proves nothing.
//   - `floor_`: where the last ordered endpoint's log stood, and `term_`: the
//     term that it was to start. They never go back.
//
// Hosts' clocks are not compared. A row carries ages as of its writing, and a
// reader adds the time since it saw the row: it may take an order for younger
// than it is, never for older.
//
// Pure. Any thread.

#include <cstdint>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "state/log_position_record.h"
#include "state/record.h"

namespace tanagerspan
{

/// An order whose answer was lost has taken effect by then: 12 seconds that
/// the platform states, one that a promotion takes, and one for the way.
constexpr std::int64_t order_travels_ms = 14'000;

struct takeover_row
{
    std::int64_t token_ = 0; ///< rises with every claim
    std::string holder_;     ///< the host that claimed
    std::string endpoint_;   ///< ordered, or known to lead once `done`
    std::string stage_;      ///< claimed, ordered, done, given_up
    std::string ordered_{};  ///< empty: no promotion is under way
    /// Since the last order, when the row was written. Negative: orders may
    /// go out for that long.
    std::int64_t ordered_age_ms_ = 0;
    log_position floor_{};
    std::uint64_t term_ = 0;
    std::vector<std::string> released_{};
    std::int64_t released_age_ms_ = 0; ///< as `ordered_age_ms_`
};

constexpr auto fields_of(const takeover_row*)
{
    return std::tuple{
        field{"token", &takeover_row::token_, {.min_ = 0}},
        field{"holder", &takeover_row::holder_},
        field{"endpoint", &takeover_row::endpoint_},
        field{"stage", &takeover_row::stage_},
        field{"ordered", &takeover_row::ordered_},
        field{"ordered_age_ms", &takeover_row::ordered_age_ms_},
        field{"floor", &takeover_row::floor_},
        field{"term", &takeover_row::term_},
        field{"released", &takeover_row::released_},
        field{"released_age_ms", &takeover_row::released_age_ms_}};
}

/// What may be carried out after an attempt has ended.
struct loose_orders
{
    std::optional<std::string> ordered_{};
    std::int64_t ordered_age_ms_ = 0;
    std::vector<std::string> released_{};
    std::int64_t released_age_ms_ = 0;
};

/// What may still be carried out, of a row that was seen `since_ms` ago.
loose_orders loose_orders_of(const takeover_row& row, std::int64_t since_ms);

/// The row of a new claim after one that was seen `since_ms` ago.
takeover_row claim_after(const takeover_row& seen, std::int64_t since_ms,
                         const std::string& holder);

/// The row that is written before an order for `target` goes out, which is to
/// start `term` from `floor`; orders stop `lease_ms` after it.
takeover_row order_row(const takeover_row& claim, const std::string& target,
                       std::uint64_t term, log_position floor,
                       std::int64_t lease_ms);

/// The row of an attempt's end; `leader` is empty if none is known.
takeover_row end_row(const takeover_row& held, const std::string& leader,
                     const loose_orders& left);

} // namespace tanagerspan

#endif
