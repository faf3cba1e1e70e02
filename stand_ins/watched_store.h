#ifndef TANAGERSPAN_STAND_INS_WATCHED_STORE_H
#define TANAGERSPAN_STAND_INS_WATCHED_STORE_H

// Stand-in for the platform's table store on an event loop, with the failures
// that a client sees from outside: a silent store accepts calls and never
// answers them, a restored one forgets what was written since its copy, and the
// network may hold calls up.
//
//   watched_store store(loop);
//   store.put("settings", "all", "v1");
//   store.set_silent(true);   // calls from here on are lost
//   store.set_silent(false);  // and stay lost; watches from before go on
//   store.set_held(true);     // calls from here on arrive when the hold ends
//
// Single thread.

#include <cstdint>
#include <functional>
#include <list>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include <utility> // Boost.Asio 1.74 under C++20 relies on it

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>

#include "protocol/table_store.h"

namespace tanagerspan
{

class watched_store final : public table_store
{
public:
    explicit watched_store(boost::asio::io_context& loop) : loop_(loop)
    {
    }

    /// Writes a row as its owner does and returns its version.
    std::int64_t put(const std::string& table, const std::string& key,
                     const std::string& value);

    /// Removes a row as its owner does.
    void remove(const std::string& table, const std::string& key);

    /// While silent, the store drops the calls that arrive.
    void set_silent(bool silent)
    {
        silent_ = silent;
    }

    /// While held, calls do not arrive, as behind a network cut that ends
    /// before the connections fail. They all arrive when the hold ends.
    void set_held(bool held);

    /// Makes the copy from which `restore` comes back.
    void save_copy()
    {
        copy_ = rows_;
        copied_number_ = number_;
    }
    /// Comes back from the copy in a new era. Watches stay unanswered until
    /// they time out.
    void restore();

    /// The row as stored; nothing if there is none or it was removed.
    std::optional<table_row> find(const std::string& table,
                                  const std::string& key) const;

    /// The number of calls so far, lost ones included.
    std::size_t calls() const
    {
        return calls_;
    }

    void list(const std::string& table, snapshot_handler done) override;
    void watch(const std::string& table, std::int64_t after,
               std::int64_t wait_ms, snapshot_handler done) override;
    void transact(const table_transaction& change,
                  answer_handler done) override;

private:
    using row_key = std::pair<std::string, std::string>; ///< table, key
    struct pending_watch
    {
        std::string table_;
        std::int64_t after_ = 0;
        std::int64_t wait_ms_ = 0;
        snapshot_handler done_;
        /// Released when the watch has been answered.
        std::shared_ptr<bool> open_ = std::make_shared<bool>(true);
    };

    std::vector<table_row> rows_after(const std::string& table,
                                      std::int64_t version) const;
    std::int64_t version() const
    {
        return make_version(era_, number_);
    }
    table_row with_era(table_row row) const;
    void lose(std::int64_t after_ms, std::function<void(failure)> done);
    bool holds(const row_precondition& guard) const;
    void write(table_row row);
    void answer_watches();
    std::int64_t clock_ms() const;
    void answer(const snapshot_handler& done, std::vector<table_row> rows);
    void run_after(std::int64_t delay_ms, std::function<void()> task);

    boost::asio::io_context& loop_;
    std::map<row_key, table_row> rows_; ///< with numbers as versions
    std::map<row_key, table_row> copy_;
    std::int64_t number_ = 0;
    std::int64_t copied_number_ = 0;
    std::int64_t era_ = 1;
    std::list<pending_watch> watches_;
    bool silent_ = false;
    bool held_ = false;
    std::vector<std::function<void()>> held_calls_;
    std::size_t calls_ = 0;
};

} // namespace tanagerspan

#endif
