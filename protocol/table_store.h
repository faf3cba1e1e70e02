#ifndef TANAGERSPAN_PROTOCOL_TABLE_STORE_H
#define TANAGERSPAN_PROTOCOL_TABLE_STORE_H

// The table store, which holds all state that proxies must agree on or that
// must survive a restart. A row has the version of the transaction that wrote
// it; versions increase over all tables.
//
// The store may come back from an older copy. What was written since is gone,
// and the store numbers its transactions from the copy's number again. The
// store's era, which then rises by one, is a part of a version: all versions of
// a later era are higher, and no version is given out twice.
//
//   // Inserts a row unless it exists.
//   store.transact({.expected_ = {{"leases", "orders", 0}},
//                   .put_ = {{.table_ = "leases", .key_ = "orders"}}}, done);
//
// Calls do not block. Each handler runs exactly once, on the thread that
// drives the store, and never within the call itself.

#include <cstdint>
#include <functional>
#include <limits>
#include <string>
#include <utility>
#include <vector>

#include "state/failure.h"
#include "state/instant.h"

namespace tanagerspan
{

/// The highest number of a transaction in one era is below this value.
constexpr std::int64_t versions_per_era = std::int64_t{1} << 42;

/// The highest era that has a place in a version.
constexpr std::int64_t highest_era =
    std::numeric_limits<std::int64_t>::max() / versions_per_era - 1;

constexpr std::int64_t make_version(std::int64_t era, std::int64_t number)
{
    return era * versions_per_era + number;
}

/// The era of a version that was read from the store.
constexpr std::int64_t era_of(std::int64_t version)
{
    return version / versions_per_era;
}

/// Its number in that era, which the store itself uses.
constexpr std::int64_t number_of(std::int64_t version)
{
    return version % versions_per_era;
}

struct table_row
{
    std::string table_;
    std::string key_;
    std::string value_;
    std::int64_t version_ = 0;
    bool removed_ = false;
};

/// The rows that a call returned. A watch after `version_` returns all later
/// changes.
struct table_snapshot
{
    std::vector<table_row> rows_;
    std::int64_t version_ = 0;
    std::int64_t now_ms_ = 0; ///< the store's own steady clock
    /// The earliest time at which the store can have given the answer, if the
    /// call went through a `timed_store`.
    instant given_at_ = never;
};

/// The version that a row must have; 0 if the row must not exist.
struct row_precondition
{
    std::string table_;
    std::string key_;
    std::int64_t version_ = 0;
};

/// A change of several rows, applied atomically if all of `expected_` hold.
struct table_transaction
{
    std::vector<row_precondition> expected_;
    std::vector<table_row> put_;
    std::vector<row_precondition> removed_; ///< their versions are ignored
};

/// The outcome of a transaction. A precondition that does not hold is an
/// outcome, not a failure.
struct transaction_answer
{
    bool applied_ = false;
    /// If not applied: the current rows of the preconditions.
    table_snapshot current_;
};

/// Interface of the table store.
class table_store
{
public:
    using snapshot_handler = std::function<void(result<table_snapshot>)>;
    using answer_handler = std::function<void(result<transaction_answer>)>;

    using restore_handler = std::function<void()>;

    virtual ~table_store() = default;

    /// `restored` runs when an answer shows that the store came back from an
    /// older copy, before the handler of that answer.
    void set_restore_handler(restore_handler restored)
    {
        restored_ = std::move(restored);
    }

    /// A call without an answer fails after this time, a watch after its
    /// `wait_ms` and this time. More than a hundred times the store's usual
    /// response time; a later answer would be too late for any decision.
    static constexpr std::int64_t answer_margin_ms = 1500;

    /// Reads all rows of a table. Errors: not_sent, lost, unavailable,
    /// over_rate.
    virtual void list(const std::string& table, snapshot_handler done) = 0;

    /// Waits up to `wait_ms` for rows that changed after version `after`; the
    /// snapshot is empty if there are none. Errors: as `list`, and compacted,
    /// also if `after` is of an earlier era.
    virtual void watch(const std::string& table, std::int64_t after,
                       std::int64_t wait_ms, snapshot_handler done) = 0;

    /// Applies a transaction. Errors: as `list`, and compacted if a
    /// precondition is of an earlier era; nothing was done then. After `lost`
    /// it may have been applied, or may be applied later if its preconditions
    /// still hold.
    virtual void transact(const table_transaction& change,
                          answer_handler done) = 0;

protected:
    void notify_restored()
    {
        if (restored_)
            restored_();
    }

private:
    restore_handler restored_;
};

} // namespace tanagerspan

#endif
