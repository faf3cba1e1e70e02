#include "stand_ins/watched_store.h"

#include <algorithm>
#include <chrono>
#include <utility>

#include <boost/asio/post.hpp>

#include "transport/monotonic_clock.h"

namespace tanagerspan
{
namespace
{

// The store's clock has another origin than that of its clients.
constexpr std::int64_t clock_origin_ms = 77'000'000;

bool is_of_other_era(std::int64_t version, std::int64_t era)
{
    return version != 0 && era_of(version) != era;
}

} // namespace

std::int64_t watched_store::put(const std::string& table,
                                const std::string& key,
                                const std::string& value)
{
    ++number_;
    write({.table_ = table, .key_ = key, .value_ = value});
    answer_watches();
    return version();
}

void watched_store::remove(const std::string& table, const std::string& key)
{
    ++number_;
    write({.table_ = table, .key_ = key, .removed_ = true});
    answer_watches();
}

void watched_store::set_held(bool held)
{
    held_ = held;
    if (held_)
        return;
    for (const auto& call : std::exchange(held_calls_, {}))
        call();
}

std::int64_t watched_store::clock_ms() const
{
    return monotonic_now().ms_ + clock_origin_ms;
}

void watched_store::restore()
{
    rows_ = copy_;
    number_ = copied_number_;
    ++era_;
    for (auto& watch : watches_)
        lose(watch.wait_ms_ + answer_margin_ms,
             [done = watch.done_](const failure& cause)
             {
                 done(tl::unexpected(cause));
             });
    watches_.clear();
    boost::asio::post(loop_,
                      [this]
                      {
                          notify_restored();
                      });
}

std::optional<table_row> watched_store::find(const std::string& table,
                                             const std::string& key) const
{
    auto row = rows_.find({table, key});
    if (row == rows_.end() || row->second.removed_)
        return std::nullopt;
    return with_era(row->second);
}

table_row watched_store::with_era(table_row row) const
{
    row.version_ = make_version(era_, row.version_);
    return row;
}

void watched_store::write(table_row row)
{
    row.version_ = number_;
    row_key key{row.table_, row.key_};
    rows_[key] = std::move(row);
}

std::vector<table_row> watched_store::rows_after(const std::string& table,
                                                 std::int64_t version) const
{
    std::vector<table_row> out;
    for (const auto& [key, row] : rows_)
    {
        bool removed_before = row.removed_ && version == 0;
        if (key.first == table && row.version_ > number_of(version) &&
            !removed_before)
            out.push_back(with_era(row));
    }
    return out;
}

void watched_store::run_after(std::int64_t delay_ms, std::function<void()> task)
{
    auto timer = std::make_shared<boost::asio::steady_timer>(
        loop_, std::chrono::milliseconds(delay_ms));
    timer->async_wait(
        [timer, task = std::move(task)](boost::system::error_code cancelled)
        {
            if (!cancelled)
                task();
        });
}

void watched_store::lose(std::int64_t after_ms,
                         std::function<void(failure)> done)
{
    run_after(after_ms,
              [done = std::move(done)]
              {
                  done({error_code::lost, "timeout"});
              });
}

void watched_store::answer(const snapshot_handler& done,
                           std::vector<table_row> rows)
{
    boost::asio::post(loop_,
                      [done, snapshot = table_snapshot{.rows_ = std::move(rows),
                                                       .version_ = version(),
                                                       .now_ms_ = clock_ms()}]
                      {
                          done(snapshot);
                      });
}

void watched_store::answer_watches()
{
    std::erase_if(watches_,
                  [this](const pending_watch& watch)
                  {
                      auto rows = rows_after(watch.table_, watch.after_);
                      if (rows.empty())
                          return false;
                      answer(watch.done_, std::move(rows));
                      return true;
                  });
}

void watched_store::list(const std::string& table, snapshot_handler done)
{
    if (held_)
        return held_calls_.push_back(
            [this, table, done = std::move(done)]
            {
                list(table, done);
            });
    ++calls_;
    if (silent_)
        return lose(answer_margin_ms,
                    [done = std::move(done)](const failure& cause)
                    {
                        done(tl::unexpected(cause));
                    });
    answer(done, rows_after(table, 0));
}

void watched_store::watch(const std::string& table, std::int64_t after,
                          std::int64_t wait_ms, snapshot_handler done)
{
    if (held_)
        return held_calls_.push_back(
            [this, table, after, wait_ms, done = std::move(done)]
            {
                watch(table, after, wait_ms, done);
            });
    ++calls_;
    if (silent_)
        return lose(wait_ms + answer_margin_ms,
                    [done = std::move(done)](const failure& cause)
                    {
                        done(tl::unexpected(cause));
                    });
    if (is_of_other_era(after, era_))
        return boost::asio::post(
            loop_,
            [done = std::move(done)]
            {
                done(fail(error_code::compacted, "restored"));
            });
    auto rows = rows_after(table, after);
    if (!rows.empty() || wait_ms == 0)
        return answer(done, std::move(rows));
    auto watch = watches_.insert(watches_.end(), {table, after, wait_ms, done});
    run_after(wait_ms,
              [this, open = std::weak_ptr<bool>(watch->open_), watch]
              {
                  if (open.expired())
                      return;
                  answer(watch->done_, {});
                  watches_.erase(watch);
              });
}

bool watched_store::holds(const row_precondition& guard) const
{
    auto row = find(guard.table_, guard.key_);
    return guard.version_ == (row ? row->version_ : 0);
}

void watched_store::transact(const table_transaction& change,
                             answer_handler done)
{
    if (held_)
        return held_calls_.push_back(
            [this, change, done = std::move(done)]
            {
                transact(change, done);
            });
    ++calls_;
    if (silent_)
        return lose(answer_margin_ms,
                    [done = std::move(done)](const failure& cause)
                    {
                        done(tl::unexpected(cause));
                    });
    transaction_answer out{.applied_ = std::all_of(
                               change.expected_.begin(), change.expected_.end(),
                               [this](const row_precondition& guard)
                               {
                                   return holds(guard);
                               })};
    if (out.applied_)
    {
        ++number_;
        for (const auto& row : change.put_)
            write(row);
        answer_watches();
    }
    else
    {
        for (const auto& guard : change.expected_)
        {
            if (auto row = find(guard.table_, guard.key_))
                out.current_.rows_.push_back(std::move(*row));
        }
    }
    out.current_.version_ = version();
    out.current_.now_ms_ = clock_ms();
    boost::asio::post(loop_,
                      [done = std::move(done), out = std::move(out)]
                      {
                          done(out);
                      });
}

} // namespace tanagerspan
