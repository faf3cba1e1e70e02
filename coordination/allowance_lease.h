#ifndef TANAGERSPAN_COORDINATION_ALLOWANCE_LEASE_H
#define TANAGERSPAN_COORDINATION_ALLOWANCE_LEASE_H

// Decides on one host when to claim, renew and give up the lease of an
// allowance slice. At most one host grants tokens of a slice at a time.
//
// The lease is a row in the store: the holder and the end of the lease on the
// store's clock. It is written under its version. Two bounds make it safe:
//
//  * The answer to the write states the store's clock at a time after the write
//    was sent. The holder counts the rest of its lease from the sending, so
//    that its lease ends before the row's end by the store's clock.
//  * Another host claims only after an answer whose time of the store is later
//    than the row's end.
//
// A row states the era of the store in which it was written. A row of an
// earlier era, or a missing one, may be the copy from which the store came
// back, and a later holder may still count on its lease. It is claimed a lease
// after this host first saw the new era.
//
// A host that finds itself as holder after a restart claims at once: its former
// process has ended.
//
// Pure; the caller passes the time and performs the calls. Not thread safe.

#include <cstdint>
#include <optional>
#include <string>
#include <tuple>

#include "state/fleet_host.h"
#include "state/instant.h"
#include "state/record.h"

namespace tanagerspan
{

/// The row of a slice.
struct allowance_lease_row
{
    std::string holder_;
    std::string address_;       ///< of the holder, for other proxies
    std::int64_t until_ms_ = 0; ///< on the store's clock
    std::int64_t era_ = 0;      ///< of the store, when the row was written

    bool operator==(const allowance_lease_row&) const = default;
};

constexpr auto fields_of(const allowance_lease_row*)
{
    using r = allowance_lease_row;
    return std::tuple{
        field{"holder", &r::holder_}, field{"address", &r::address_},
        field{"until_ms", &r::until_ms_}, field{"era", &r::era_, {.min_ = 0}}};
}

/// The row as an answer of the store showed it.
struct allowance_lease_reading
{
    std::optional<allowance_lease_row> row_;
    std::int64_t version_ = 0;  ///< of the row; 0 if there is none
    std::int64_t era_ = 0;      ///< of the store
    std::int64_t store_ms_ = 0; ///< the store's clock in the answer
};

class allowance_lease
{
public:
    struct options
    {
        fleet_host own_;
        std::int64_t length_ms_ = 4000;
        /// Renewals are sent at this interval. Two of them may fail.
        std::int64_t renew_ms_ = 1200;
    };

    explicit allowance_lease(options opts) : options_(std::move(opts))
    {
    }

    /// Records what the store holds.
    void on_reading(allowance_lease_reading reading, instant now);

    /// The row to write now, under the version of the last reading; nullopt if
    /// there is nothing to write. It counts as sent at `now`.
    std::optional<allowance_lease_row> next_write(instant now);

    /// The last write was applied and the row has this version. `store_ms`: the
    /// store's clock in the answer.
    void on_written(std::int64_t version, std::int64_t store_ms);
    /// The last write was not applied or its outcome is unknown. The row must
    /// be read before the next write.
    void on_write_failed();

    /// Gives the lease up: `next_write` returns a row without a holder.
    void release();

    /// This host may grant until this time; `never` if it is not the holder.
    instant valid_until() const
    {
        return valid_until_;
    }
    /// The other host that holds the lease according to the last reading.
    std::optional<fleet_host> other_holder() const;
    std::int64_t version() const
    {
        return reading_ ? reading_->version_ : 0;
    }
    /// Whether the row must be read before `next_write` can decide.
    bool needs_reading() const
    {
        return !reading_;
    }
    /// Whether this host holds or renews the lease.
    bool is_active(instant now) const
    {
        return writing_ || valid_until_ > now;
    }

private:
    bool is_own(const allowance_lease_row& row) const;
    bool may_claim(instant now) const;
    options options_;
    std::optional<allowance_lease_reading> reading_;
    instant read_at_ = never;
    std::int64_t era_ = -1; ///< -1: no answer yet
    instant era_seen_at_ = never;
    instant valid_until_ = never;
    instant sent_at_ = never;
    std::optional<allowance_lease_row> sent_;
    bool writing_ = false;
    bool releasing_ = false;
};

} // namespace tanagerspan

#endif
