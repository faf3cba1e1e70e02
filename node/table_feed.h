#ifndef TANAGERSPAN_NODE_TABLE_FEED_H
#define TANAGERSPAN_NODE_TABLE_FEED_H

// Keeps a local copy of one table of the store up to date.
//
// The table is listed once; then its changes are watched, starting from the
// listed version. If the store no longer has the history from that version on,
// the table is listed again, and rows missing from the new list count as
// removed. While calls fail the copy is kept unchanged, and calls are retried
// with exponential backoff. The first watch after a failure asks for an
// immediate answer.
//
// A store may accept a watch and never answer it while the connection lives.
// Nothing but its timeout shows that, so the wait time of watches bounds the
// age of the copy: a change is read at most `answer_interval_ms_` plus
// `table_store::answer_margin_ms` after the last answer, if the store answers
// the next call.
//
// A change may have been made long before it is read, also without a failed
// call. All that is known of its age is that it is younger than the last proof
// that the copy was complete: an earlier answer to a watch, as of the time at
// which the store gave it. A list is no proof, since it may be some seconds
// old. Nor is an answer soon after a restore: a row that is written again then
// may have been written for the first time before.
//
// Control thread only, except where a function says otherwise.

#include <atomic>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <random>
#include <string>

#include <boost/asio/steady_timer.hpp>

#include "protocol/table_store.h"
#include "state/instant.h"
#include "transport/socket_options.h"

namespace tanagerspan
{

/// Watches one table.
class table_feed
{
public:
    struct options
    {
        std::string table_;
        /// Longest time from one answer to the next while nothing changes.
        /// Each answer costs a call, on every host.
        std::int64_t answer_interval_ms_ = 1000;
        /// Delay between an answer with changes and the next watch. In a
        /// series of changes the delay doubles each time, up to
        /// `max_delay_ms_`. 0: no delay.
        std::int64_t initial_delay_ms_ = 0;
        std::int64_t max_delay_ms_ = 0;
        /// Backoff after the first failed call; it doubles with each further
        /// failure, up to `max_backoff_ms_`.
        std::int64_t initial_backoff_ms_ = 50;
        /// Settings must take effect within 3 s.
        std::int64_t max_backoff_ms_ = 800;
        /// After a restore of the store its clients write lost rows again
        /// within this time.
        std::int64_t rewrite_ms_ = 2500;
        std::uint64_t seed_ = 1; ///< for the jitter of the backoff
        /// Called whenever a later time is known at which the copy had all
        /// rows of the store, after the changes that the copy includes.
        std::function<void(instant)> complete_{};
    };
    /// Receives the whole copy after each change.
    using change_handler =
        std::function<void(const std::map<std::string, table_row>&)>;

    table_feed(boost::asio::io_context& loop, table_store& store, options opts,
               change_handler changed);
    ~table_feed();

    /// Lists the table and starts to watch it.
    void start();

    /// Lists the table now, beside a watch that may be under way. Calls `done`
    /// once the copy has all rows that the store had at the time of this call;
    /// never if the call fails.
    void refresh(std::function<void()> done = nullptr);

    /// Whether the store answered the last call.
    bool connected() const
    {
        return connected_;
    }
    /// Time of the first answer since the last failure.
    instant connected_since() const
    {
        return connected_since_;
    }
    /// The changes that the change handler receives were made after this time.
    /// `never` if that is not known: before the first watch was answered.
    instant changed_since() const
    {
        return changed_since_;
    }
    /// Name of the table. Any thread.
    const std::string& table() const
    {
        return options_.table_;
    }
    /// Time of the last answer. Any thread.
    instant answered_at() const
    {
        return answered_at_;
    }
    /// The version up to which the table was read. Any thread.
    std::int64_t version() const
    {
        return version_;
    }
    /// The local copy: rows by key.
    const std::map<std::string, table_row>& rows() const
    {
        return rows_;
    }

private:
    void list();
    void on_list(table_snapshot snapshot);
    void watch(std::int64_t wait_ms);
    /// Watches until the next answer is due.
    void watch_for_changes();
    void watch_after(std::int64_t delay_ms);
    void on_failure(const failure& cause);
    void on_answer();
    void on_complete(const table_snapshot& answer);
    void report_complete();
    std::int64_t since_last_answer() const;
    std::int64_t delay_after_change();

    boost::asio::io_context& loop_;
    table_store& store_;
    options options_;
    change_handler changed_;
    boost::asio::steady_timer timer_;
    std::minstd_rand random_;
    std::map<std::string, table_row> rows_;
    std::atomic<std::int64_t> version_ = 0;
    std::atomic<instant> answered_at_ = never;
    std::int64_t backoff_ms_;
    std::int64_t next_delay_ms_;
    instant call_sent_at_ = never; ///< when the last call was sent
    /// The copy had all rows that the store had at this time.
    instant complete_at_ = never;
    instant reported_complete_at_ = never;
    instant changed_since_ = never;
    instant restored_at_ = never;
    std::int64_t failed_calls_ = 0; ///< since the last answer
    bool listed_ = false;
    bool connected_ = false;
    instant connected_since_ = never;
    std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
};

} // namespace tanagerspan

#endif
