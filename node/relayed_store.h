#ifndef TANAGERSPAN_NODE_RELAYED_STORE_H
#define TANAGERSPAN_NODE_RELAYED_STORE_H

// A table store that sends watches to a relay, a host of the own data centre
// that watches the store for others. Everything else goes to the store, as do
// the watches of a relay and those of a host without a relay. See
// docs/design/relays.md.
//
// A relayed answer is dated by the store's clock in it and is never fresher
// than the answer that the relay got. If the relay fails, or if its answer
// cannot be dated, the same call goes on at the store, without a wait. So a
// call fails only if the store fails, or if it needs a list (compacted).
//
// Control thread only, except `metrics`.

#include <array>
#include <atomic>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <set>
#include <span>
#include <string>

#include <utility> // Boost.Asio 1.74 under C++20 relies on it

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>

#include "coordination/relay_plan.h"
#include "coordination/relay_source.h"
#include "node/timed_store.h"
#include "protocol/relay_messages.h"
#include "protocol/table_store.h"

namespace tanagerspan
{

/// Receives the reply of a relay, or the failure of the link to it.
using relay_reply_handler = std::function<void(result<relay_reply>)>;
/// Sends a request to another host. The handler must run on the control thread,
/// at most once and not within the call.
using relay_sender = std::function<void(const fleet_host&, const relay_request&,
                                        relay_reply_handler)>;

class relayed_store final : public table_store
{
public:
    /// Without `send`, all calls go to the store. Takes the place of the
    /// restore handler of `store`, which must outlive this object.
    relayed_store(boost::asio::io_context& loop, timed_store& store,
                  const fleet_host& own, relay_sender send);
    ~relayed_store() override;

    /// Sets the live hosts, on which the choice of relays depends.
    void set_hosts(std::span<const fleet_host> live);

    void list(const std::string& table, snapshot_handler done) override;
    void watch(const std::string& table, std::int64_t after,
               std::int64_t wait_ms, snapshot_handler done) override;
    void transact(const table_transaction& change,
                  answer_handler done) override;

    /// Answers the request of another host, for which this host is a relay.
    void answer(const relay_request& request,
                std::function<void(const relay_reply&)> done);

    /// Text lines for the metrics page. Any thread.
    std::string metrics() const;

private:
    enum fallback_reason : std::size_t
    {
        timeout,
        link_failed,
        unavailable,
        undated,
        compacted,
        reason_count
    };
    static constexpr std::array<const char*, reason_count> reason_names{
        "timeout", "link_failed", "unavailable", "undated", "compacted"};

    struct relayed_watch
    {
        std::string table_;
        std::int64_t after_ = 0;
        snapshot_handler done_;
        std::string relay_;
        std::unique_ptr<boost::asio::steady_timer> timeout_;
    };
    /// The store's clock of the last watch answer, and its era.
    struct proof
    {
        std::int64_t store_ms_ = 0;
        std::int64_t era_ = 0;
    };

    void watch_at_relay(const fleet_host& relay, const std::string& table,
                        std::int64_t after, std::int64_t wait_ms,
                        snapshot_handler done);
    void watch_at_store(const std::string& table, std::int64_t after,
                        std::int64_t wait_ms, snapshot_handler done);
    void on_reply(std::uint64_t id, result<relay_reply> reply);
    void use_answer(relayed_watch call, relay_reply reply);
    /// The attempt at a relay failed: continues at the store.
    void fall_back(relayed_watch call, fallback_reason why);
    /// The relay does not answer: moves its pending calls to the store.
    void abandon_relay(const std::string& relay);
    relayed_watch take(std::uint64_t id);
    void learn(const std::string& table, std::int64_t after,
               const result<table_snapshot>& answer);
    void clear_sources();
    void prime_sources();
    relay_source& source_of(const std::string& table);
    void deliver(const relay_source::answers& answers);
    void schedule_answers();
    void log_change(const std::string& reason);

    boost::asio::io_context& loop_;
    timed_store& store_;
    std::string own_name_;
    relay_sender send_;
    relay_choice choice_;
    std::string logged_relay_;
    std::map<std::uint64_t, relayed_watch> pending_;
    std::uint64_t next_id_ = 1;
    std::map<std::string, proof> proofs_; ///< by table
    struct store_watch
    {
        std::int64_t after_ = 0;
        instant until_; ///< the end of its wait
    };
    /// The last watch at the store that is under way, by table.
    std::map<std::string, store_watch> at_store_;
    /// Tables whose next watch goes to the store: a list that follows a
    /// compaction may be older than the relay's history, and would be repeated
    /// without end.
    std::set<std::string> relisted_;

    // As a relay.
    std::map<std::string, relay_source> sources_; ///< by table
    std::map<std::uint64_t, std::function<void(const relay_reply&)>> askers_;
    boost::asio::steady_timer answer_timer_;

    std::atomic<std::uint64_t> used_ = 0;
    std::atomic<std::uint64_t> given_ = 0;
    std::array<std::atomic<std::uint64_t>, reason_count> fallbacks_{};
    std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
};

} // namespace tanagerspan

#endif
