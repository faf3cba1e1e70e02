#ifndef TANAGERSPAN_PROTOCOL_TABLE_STORE_H
#define TANAGERSPAN_PROTOCOL_TABLE_STORE_H

// The table service in which everything lives that must be agreed or must
// outlast a process. Rows carry the version of the transaction that wrote
// them; versions only rise, over all tables.
//
//   store.transact({.expected_ = {{"duty", "orders", 0}},
//                   .put_ = {{.table_ = "duty", .key_ = "orders"}}}, done);
//
// Calls return at once. Handlers run once each, on the thread that drives the
// store, never from within the call.

#include <cstdint>
#include <functional>
#include <string>
#include <vector>

#include "state/failure.h"

namespace tanagerspan
{

struct table_row
{
    std::string table_;
    std::string key_;
    std::string value_;
    std::int64_t version_ = 0;
    bool removed_ = false;
};

/// Rows as of one moment.
struct table_snapshot
{
    std::vector<table_row> rows_;
    std::int64_t version_ = 0;
    std::int64_t now_ms_ = 0; ///< the store's own steady clock
};

/// The version that a row must have; 0 means that there is no such row.
struct row_precondition
{
    std::string table_;
    std::string key_;
    std::int64_t version_ = 0;
};

/// Applied whole or not at all.
struct table_transaction
{
    std::vector<row_precondition> expected_;
    std::vector<table_row> put_;
    std::vector<row_precondition> removed_; ///< versions are not looked at
};

/// A guard that did not hold is an answer, not a failure.
struct transaction_answer
{
    bool applied_ = false;
    table_snapshot current_; ///< of the guarded rows, where not applied
};

class table_store
{
public:
    using snapshot_handler = std::function<void(result<table_snapshot>)>;
    using answer_handler = std::function<void(result<transaction_answer>)>;

    virtual ~table_store() = default;

    /// All rows of a table. Errors: not_sent, lost, unavailable, over_rate.
    virtual void list(const std::string& table, snapshot_handler done) = 0;

    /// Waits for rows changed after a version; an empty answer after
    /// `wait_ms`. Errors: as `list`, and compacted.
    virtual void watch(const std::string& table, std::int64_t after,
                       std::int64_t wait_ms, snapshot_handler done) = 0;

    /// Errors: as `list`; after `lost` it may have been applied, or be
    /// applied later if its guards still hold.
    virtual void transact(const table_transaction& change,
                          answer_handler done) = 0;
};

} // namespace tanagerspan

#endif
