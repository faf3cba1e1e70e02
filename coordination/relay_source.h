#ifndef TANAGERSPAN_COORDINATION_RELAY_SOURCE_H
#define TANAGERSPAN_COORDINATION_RELAY_SOURCE_H

// The relay's side for one table: which changes it can tell of and when a
// request for them is answered.
//
// The changes are those that the relay's own watches at the store returned, the
// latest of each key, removals included. The oldest are dropped beyond a limit;
// a requester with an earlier version must then list the table at the store.
// Each answer has the store's clock of the last answer to a watch (the proof):
// at that time, all changes had been told. A proof grows no younger by being
// passed on, so a relay that stood still cannot make a copy look fresh.
//
// Versions must be of one era; the caller clears the source when it changes.
//
// No I/O; the caller passes the time. Not thread safe.

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <tuple>
#include <vector>

#include "state/instant.h"
#include "state/record.h"

namespace tanagerspan
{

/// A changed row of a table, as relays send it.
struct relayed_row
{
    std::string key_;
    std::string value_;
    std::int64_t version_ = 0;
    bool removed_ = false;

    bool operator==(const relayed_row&) const = default;
};

constexpr auto fields_of(const relayed_row*)
{
    using r = relayed_row;
    return std::tuple{field{"k", &r::key_}, field{"x", &r::value_},
                      field{"v", &r::version_, {.min_ = 0}},
                      field{"rm", &r::removed_}};
}

enum class relay_outcome : std::int64_t
{
    changes,
    unavailable, ///< this host has no connected watch at the store
    compacted    ///< not all changes since the version are known
};

/// A request for the changes after a version.
struct relay_query
{
    std::uint64_t id_ = 0;
    std::int64_t after_ = 0;
    /// The store's clock of the last watch answer that the requester used; 0 if
    /// there is none.
    std::int64_t proof_ms_ = 0;
    std::int64_t wait_ms_ = 0;
};

struct relay_answer
{
    std::uint64_t id_ = 0; ///< of the query
    relay_outcome outcome_ = relay_outcome::changes;
    std::vector<relayed_row> rows_;
    std::int64_t version_ = 0;
    std::int64_t proof_ms_ = 0; ///< the store's clock
};

class relay_source
{
public:
    struct options
    {
        /// More than the changes of the longest interval between two answers
        /// in a fleet of some hundred endpoints.
        std::size_t max_rows_ = 512;
        /// An answer must fit into the input buffer of a link (2 MiB).
        std::size_t max_bytes_ = std::size_t{256} << 10;
        /// A watch at the store is overdue when it is not answered within its
        /// wait and this time.
        std::int64_t watch_margin_ms_ = 1500;
        /// Longest delay between an answer and the next watch.
        std::int64_t max_pause_ms_ = 2000;
    };
    using answers = std::vector<relay_answer>;

    explicit relay_source(options opts) : options_(opts)
    {
    }

    /// The version from which a watch of a reader at version `after` starts, so
    /// that the changes have no gap: the reader may have read more by a list.
    std::int64_t watch_from(std::int64_t after) const;

    /// A watch was sent to the store.
    void on_watch(std::int64_t wait_ms, instant now);

    /// The answer to a watch from version `after` and the store's clock in it.
    answers on_answer(std::int64_t after, const std::vector<relayed_row>& rows,
                      std::int64_t version, std::int64_t proof_ms, instant now);

    /// A watch failed.
    answers on_failure();

    /// Forgets all changes. Queries are answered as unavailable.
    answers clear();

    /// Returns the answer to a query, if it is answered immediately.
    answers on_query(const relay_query& query, instant now);

    /// The answers that are due at `now`.
    answers tick(instant now);

    /// When `tick` has to be called; nothing if no query is open.
    std::optional<instant> next_due() const;

    std::int64_t version() const
    {
        return version_;
    }

private:
    struct open_query
    {
        relay_query query_;
        instant until_;
    };

    std::optional<relay_answer> decide(const open_query& open,
                                       instant now) const;
    answers take_unavailable();
    void keep(const relayed_row& row);
    void drop_oldest();

    options options_;
    std::map<std::string, relayed_row> changes_; ///< the last of each key
    std::size_t bytes_ = 0;
    /// All changes after this version and up to `version_` are known.
    std::int64_t known_from_ = 0;
    std::int64_t version_ = 0;
    std::int64_t proof_ms_ = 0;
    bool connected_ = false;
    /// The next answer is overdue after this time.
    instant answer_due_ = never;
    std::vector<open_query> open_;
};

} // namespace tanagerspan

#endif
