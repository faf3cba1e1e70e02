#ifndef TANAGERSPAN_NODE_TIMED_STORE_H
#define TANAGERSPAN_NODE_TIMED_STORE_H

// A table store that adds to each answer of another one when it was given
// (`table_snapshot::given_at_`). All calls of a host go through one object, so
// that quick calls help to date slow ones.
//
//   timed_store timed(store);
//   timed.watch("endpoints", version, wait_ms, done);
//
// Control thread only.

#include <cstdint>
#include <memory>
#include <optional>
#include <string>

#include "coordination/store_clock.h"
#include "protocol/table_store.h"

namespace tanagerspan
{

class timed_store final : public table_store
{
public:
    /// Takes the place of the restore handler of `store`, which must outlive
    /// this object.
    explicit timed_store(table_store& store);
    ~timed_store() override;

    void list(const std::string& table, snapshot_handler done) override;
    void watch(const std::string& table, std::int64_t after,
               std::int64_t wait_ms, snapshot_handler done) override;
    void transact(const table_transaction& change,
                  answer_handler done) override;

    /// Dates an answer that another host received from the store, without
    /// learning from it. Nothing if it is of another era than the last answer
    /// to this host, or if this host's own calls give no bound.
    std::optional<instant> date_relayed(std::int64_t version,
                                        std::int64_t store_ms) const;

private:
    snapshot_handler dated(snapshot_handler done);
    void set_date(table_snapshot& answer, instant sent_at);

    table_store& store_;
    store_clock clock_{{}};
    std::int64_t era_ = 0; ///< of the last answer
    std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
};

} // namespace tanagerspan

#endif
