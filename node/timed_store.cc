#include "node/timed_store.h"

#include <utility>

#include "transport/monotonic_clock.h"

namespace tanagerspan
{

timed_store::timed_store(table_store& store) : store_(store)
{
    store_.set_restore_handler(
        [this]
        {
            notify_restored();
        });
}

timed_store::~timed_store()
{
    *alive_ = false;
    store_.set_restore_handler({});
}

void timed_store::set_date(table_snapshot& answer, instant sent_at)
{
    std::int64_t era = era_of(answer.version_);
    if (std::exchange(era_, era) != era)
        clock_.reset();
    answer.given_at_ =
        clock_.given_at(sent_at, answer.now_ms_, monotonic_now());
}

std::optional<instant> timed_store::date_relayed(std::int64_t version,
                                                 std::int64_t store_ms) const
{
    if (era_of(version) != era_)
        return std::nullopt;
    return clock_.relayed_given_at(store_ms, monotonic_now());
}

table_store::snapshot_handler timed_store::dated(snapshot_handler done)
{
    return [this, sent_at = monotonic_now(), alive = alive_,
            done = std::move(done)](result<table_snapshot> answer)
    {
        if (answer && *alive)
            set_date(*answer, sent_at);
        done(std::move(answer));
    };
}

void timed_store::list(const std::string& table, snapshot_handler done)
{
    store_.list(table, dated(std::move(done)));
}

void timed_store::watch(const std::string& table, std::int64_t after,
                        std::int64_t wait_ms, snapshot_handler done)
{
    store_.watch(table, after, wait_ms, dated(std::move(done)));
}

void timed_store::transact(const table_transaction& change, answer_handler done)
{
    store_.transact(change,
                    [this, sent_at = monotonic_now(), alive = alive_,
                     done = std::move(done)](result<transaction_answer> answer)
                    {
                        if (answer && *alive)
                            set_date(answer->current_, sent_at);
                        done(std::move(answer));
                    });
}

} // namespace tanagerspan
