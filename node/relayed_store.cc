#include "node/relayed_store.h"

#include <algorithm>
#include <chrono>
#include <iterator>
#include <optional>
#include <sstream>
#include <utility>
#include <vector>

#include "transport/json_log.h"
#include "transport/monotonic_clock.h"
#include "transport/socket_options.h"

namespace tanagerspan
{
namespace
{

// Wait time of a watch that is answered immediately, with or without changes.
constexpr std::int64_t no_wait_ms = 0;

} // namespace

relayed_store::relayed_store(boost::asio::io_context& loop, timed_store& store,
                             const fleet_host& own, relay_sender send)
    : loop_(loop), store_(store), own_name_(own.name_), send_(std::move(send)),
      choice_({.own_ = own}), answer_timer_(loop)
{
    store_.set_restore_handler(
        [this]
        {
            // The hosts that ask learn of the restore only from calls of their
            // own.
            clear_sources();
            notify_restored();
        });
}

relayed_store::~relayed_store()
{
    *alive_ = false;
    store_.set_restore_handler({});
}

void relayed_store::list(const std::string& table, snapshot_handler done)
{
    store_.list(table, std::move(done));
}

void relayed_store::transact(const table_transaction& change,
                             answer_handler done)
{
    store_.transact(change, std::move(done));
}

void relayed_store::set_hosts(std::span<const fleet_host> live)
{
    if (!send_)
        return;
    bool was_relay = choice_.is_relay();
    choice_.set_hosts(live);
    if (was_relay && !choice_.is_relay())
        clear_sources();
    if (!was_relay && choice_.is_relay())
        prime_sources();
    log_change("hosts");
    // A watch at a former relay may stay unanswered, and a new relay has
    // nothing to tell before its own watches.
    std::vector<std::uint64_t> moved;
    for (const auto& [id, call] : pending_)
    {
        if (!choice_.may_ask(call.relay_))
            moved.push_back(id);
    }
    for (std::uint64_t id : moved)
    {
        auto call = take(id);
        watch(call.table_, call.after_, no_wait_ms, std::move(call.done_));
    }
}

void relayed_store::prime_sources()
{
    // The watches that are under way may take many seconds, in which this relay
    // would have nothing to tell.
    for (const auto& [name, pending] : at_store_)
        store_.watch(
            name, pending.after_, no_wait_ms,
            [this, table = name, after = pending.after_,
             alive = alive_](const result<table_snapshot>& answer)
            {
                if (!*alive)
                    return;
                learn(table, after, answer);
                auto same = at_store_.find(table);
                if (same == at_store_.end() || !choice_.is_relay())
                    return;
                instant now = monotonic_now();
                source_of(table).on_watch(
                    std::max<std::int64_t>(0, same->second.until_ - now), now);
            });
}

void relayed_store::clear_sources()
{
    for (auto& [table, source] : sources_)
        deliver(source.clear());
}

void relayed_store::log_change(const std::string& reason)
{
    const fleet_host* relay = choice_.pick(monotonic_now());
    std::string name = choice_.is_relay() ? own_name_
                       : relay            ? relay->name_
                                          : std::string();
    if (name == logged_relay_)
        return;
    log_line(
        log_level::info, "relay_changed",
        {{"relay", name}, {"previous", logged_relay_}, {"reason", reason}});
    logged_relay_ = name;
}

void relayed_store::watch(const std::string& table, std::int64_t after,
                          std::int64_t wait_ms, snapshot_handler done)
{
    const fleet_host* relay = send_ ? choice_.pick(monotonic_now()) : nullptr;
    if (relisted_.erase(table) > 0 || !relay)
        return watch_at_store(table, after, wait_ms, std::move(done));
    log_change("next attempt");
    watch_at_relay(*relay, table, after, std::min(wait_ms, max_relay_wait_ms),
                   std::move(done));
}

void relayed_store::watch_at_store(const std::string& table, std::int64_t after,
                                   std::int64_t wait_ms, snapshot_handler done)
{
    std::int64_t from = after;
    if (choice_.is_relay())
    {
        relay_source& source = source_of(table);
        if (era_of(source.version()) == era_of(after))
            from = source.watch_from(after);
        // Until the first answer a relay has nothing to tell.
        if (source.version() == 0)
            wait_ms = no_wait_ms;
        source.on_watch(wait_ms, monotonic_now());
    }
    at_store_[table] = {from, monotonic_now() + wait_ms};
    store_.watch(table, from, wait_ms,
                 [this, table, from, done = std::move(done),
                  alive = alive_](result<table_snapshot> answer)
                 {
                     if (*alive)
                     {
                         at_store_.erase(table);
                         learn(table, from, answer);
                     }
                     done(std::move(answer));
                 });
}

void relayed_store::learn(const std::string& table, std::int64_t after,
                          const result<table_snapshot>& answer)
{
    if (answer)
        proofs_[table] = {answer->now_ms_, era_of(answer->version_)};
    if (!choice_.is_relay())
        return;
    relay_source& source = source_of(table);
    if (!answer)
        // After a compaction the changes since the last answer are not known.
        return deliver(answer.error().code_ == error_code::compacted
                           ? source.clear()
                           : source.on_failure());
    if (era_of(source.version()) != era_of(answer->version_))
        deliver(source.clear());
    std::vector<relayed_row> rows;
    rows.reserve(answer->rows_.size());
    for (const auto& row : answer->rows_)
        rows.push_back({row.key_, row.value_, row.version_, row.removed_});
    deliver(source.on_answer(after, rows, answer->version_, answer->now_ms_,
                             monotonic_now()));
}

relay_source& relayed_store::source_of(const std::string& table)
{
    return sources_
        .try_emplace(
            table, relay_source::options{.watch_margin_ms_ = answer_margin_ms})
        .first->second;
}

void relayed_store::watch_at_relay(const fleet_host& relay,
                                   const std::string& table, std::int64_t after,
                                   std::int64_t wait_ms, snapshot_handler done)
{
    std::uint64_t id = next_id_++;
    auto timeout = std::make_unique<boost::asio::steady_timer>(
        loop_, std::chrono::milliseconds(wait_ms + relay_margin_ms));
    timeout->async_wait(
        [this, id, alive = std::weak_ptr<bool>(alive_)](io_error cancelled)
        {
            if (cancelled || alive.expired() || !pending_.contains(id))
                return;
            fall_back(take(id), fallback_reason::timeout);
        });
    pending_.emplace(id, relayed_watch{table, after, std::move(done),
                                       relay.name_, std::move(timeout)});
    const proof& known = proofs_[table];
    send_(relay,
          {.table_ = table,
           .after_ = after,
           .wait_ms_ = wait_ms,
           .proof_ms_ = known.era_ == era_of(after) ? known.store_ms_ : 0},
          [this, id,
           alive = std::weak_ptr<bool>(alive_)](result<relay_reply> reply)
          {
              if (!alive.expired())
                  on_reply(id, std::move(reply));
          });
}

relayed_store::relayed_watch relayed_store::take(std::uint64_t id)
{
    return std::move(pending_.extract(id).mapped());
}

void relayed_store::on_reply(std::uint64_t id, result<relay_reply> reply)
{
    if (!pending_.contains(id))
        return;
    auto call = take(id);
    if (!reply)
        return fall_back(std::move(call), link_failed);
    switch (static_cast<relay_outcome>(reply->outcome_))
    {
    case relay_outcome::changes:
        return use_answer(std::move(call), std::move(*reply));
    case relay_outcome::unavailable:
        return fall_back(std::move(call), unavailable);
    case relay_outcome::compacted:
        ++fallbacks_[compacted];
        relisted_.insert(call.table_);
        return call.done_(fail(error_code::compacted, "at the relay"));
    }
}

void relayed_store::use_answer(relayed_watch call, relay_reply reply)
{
    auto given_at = store_.date_relayed(reply.version_, reply.proof_ms_);
    if (!given_at || era_of(call.after_) != era_of(reply.version_))
        return fall_back(std::move(call), undated);
    ++used_;
    proofs_[call.table_] = {reply.proof_ms_, era_of(reply.version_)};
    table_snapshot answer{.version_ = reply.version_,
                          .now_ms_ = reply.proof_ms_,
                          .given_at_ = *given_at};
    for (auto& row : reply.rows_)
        answer.rows_.push_back({.table_ = call.table_,
                                .key_ = std::move(row.key_),
                                .value_ = std::move(row.value_),
                                .version_ = row.version_,
                                .removed_ = row.removed_});
    call.done_(std::move(answer));
}

void relayed_store::fall_back(relayed_watch call, fallback_reason why)
{
    ++fallbacks_[why];
    choice_.on_failure(call.relay_, monotonic_now());
    log_change(reason_names[why]);
    if (why == fallback_reason::timeout || why == link_failed)
        abandon_relay(call.relay_);
    watch_at_store(call.table_, call.after_, no_wait_ms, std::move(call.done_));
}

void relayed_store::abandon_relay(const std::string& relay)
{
    std::vector<std::uint64_t> moved;
    for (const auto& [id, call] : pending_)
    {
        if (call.relay_ == relay)
            moved.push_back(id);
    }
    for (std::uint64_t id : moved)
    {
        auto call = take(id);
        watch_at_store(call.table_, call.after_, no_wait_ms,
                       std::move(call.done_));
    }
}

void relayed_store::answer(const relay_request& request,
                           std::function<void(const relay_reply&)> done)
{
    auto found = sources_.find(request.table_);
    bool served = choice_.is_relay() && found != sources_.end() &&
                  era_of(found->second.version()) == era_of(request.after_);
    if (!served)
        return done({.outcome_ = static_cast<std::int64_t>(
                         relay_outcome::unavailable)});
    std::uint64_t id = next_id_++;
    askers_[id] = std::move(done);
    deliver(found->second.on_query({.id_ = id,
                                    .after_ = request.after_,
                                    .proof_ms_ = request.proof_ms_,
                                    .wait_ms_ = request.wait_ms_},
                                   monotonic_now()));
}

void relayed_store::deliver(const relay_source::answers& answers)
{
    for (const auto& answer : answers)
    {
        auto asker = askers_.extract(answer.id_);
        if (asker.empty())
            continue;
        ++given_;
        asker.mapped()({.outcome_ = static_cast<std::int64_t>(answer.outcome_),
                        .rows_ = answer.rows_,
                        .version_ = answer.version_,
                        .proof_ms_ = answer.proof_ms_});
    }
    schedule_answers();
}

void relayed_store::schedule_answers()
{
    std::optional<instant> first;
    for (const auto& [table, source] : sources_)
    {
        if (auto due = source.next_due())
            first = std::min(first.value_or(*due), *due);
    }
    if (!first)
        return;
    answer_timer_.expires_after(std::chrono::milliseconds(
        std::max<std::int64_t>(0, *first - monotonic_now())));
    answer_timer_.async_wait(
        [this, alive = std::weak_ptr<bool>(alive_)](io_error cancelled)
        {
            if (cancelled || alive.expired())
                return;
            relay_source::answers due;
            for (auto& [table, source] : sources_)
                std::ranges::move(source.tick(monotonic_now()),
                                  std::back_inserter(due));
            deliver(due);
        });
}

std::string relayed_store::metrics() const
{
    std::ostringstream out;
    out << "tanager_relay_answers_total " << used_ << '\n'
        << "tanager_relay_answers_given_total " << given_ << '\n';
    for (std::size_t why = 0; why < reason_count; ++why)
        out << "tanager_relay_fallbacks_total{reason=\"" << reason_names[why]
            << "\"} " << fallbacks_[why] << '\n';
    return out.str();
}

} // namespace tanagerspan
