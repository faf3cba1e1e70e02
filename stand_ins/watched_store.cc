#include "stand_ins/watched_store.h"

#include <algorithm>
#include <chrono>

#include <boost/asio/post.hpp>

namespace tanagerspan
{
namespace
{

result<table_snapshot> lost_call()
{
    return fail(error_code::lost, "timeout");
}

} // namespace

std::int64_t watched_store::put(const std::string& table,
                                const std::string& key,
                                const std::string& value)
{
    ++version_;
    write({.table_ = table, .key_ = key, .value_ = value});
    answer_watches();
    return version_;
}

void watched_store::write(table_row row)
{
    row.version_ = version_;
    row_key key{row.table_, row.key_};
    rows_[key] = std::move(row);
}

std::vector<table_row> watched_store::rows_after(const std::string& table,
                                                 std::int64_t version) const
{
    std::vector<table_row> out;
    for (const auto& [key, row] : rows_)
    {
        if (key.first == table && row.version_ > version)
            out.push_back(row);
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

void watched_store::answer(const snapshot_handler& done,
                           std::vector<table_row> rows)
{
    boost::asio::post(loop_,
                      [done, snapshot = table_snapshot{.rows_ = std::move(rows),
                                                       .version_ = version_}]
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
    ++calls_;
    if (silent_)
        return run_after(answer_margin_ms,
                         [done = std::move(done)]
                         {
                             done(lost_call());
                         });
    answer(done, rows_after(table, 0));
}

void watched_store::watch(const std::string& table, std::int64_t after,
                          std::int64_t wait_ms, snapshot_handler done)
{
    ++calls_;
    if (silent_)
        return run_after(wait_ms + answer_margin_ms,
                         [done = std::move(done)]
                         {
                             done(lost_call());
                         });
    auto rows = rows_after(table, after);
    if (!rows.empty() || wait_ms == 0)
        return answer(done, std::move(rows));
    auto watch = watches_.insert(watches_.end(), {table, after, done});
    run_after(wait_ms,
              [this, watch_done = std::weak_ptr<bool>(watch->open_), watch]
              {
                  if (watch_done.expired())
                      return;
                  answer(watch->done_, {});
                  watches_.erase(watch);
              });
}

void watched_store::transact(const table_transaction& change,
                             answer_handler done)
{
    ++calls_;
    if (silent_)
        return run_after(answer_margin_ms,
                         [done = std::move(done)]
                         {
                             done(tl::unexpected(lost_call().error()));
                         });
    auto current_version = [this](const row_precondition& guard)
    {
        auto row = rows_.find({guard.table_, guard.key_});
        return row == rows_.end() ? 0 : row->second.version_;
    };
    bool holds =
        std::all_of(change.expected_.begin(), change.expected_.end(),
                    [&](const row_precondition& guard)
                    {
                        return current_version(guard) == guard.version_;
                    });
    transaction_answer out{.applied_ = holds};
    if (holds)
    {
        ++version_;
        for (const auto& row : change.put_)
            write(row);
        answer_watches();
    }
    else
    {
        for (const auto& guard : change.expected_)
        {
            auto row = rows_.find({guard.table_, guard.key_});
            if (row != rows_.end())
                out.current_.rows_.push_back(row->second);
        }
    }
    out.current_.version_ = version_;
    boost::asio::post(loop_,
                      [done = std::move(done), out = std::move(out)]
                      {
                          done(out);
                      });
}

} // namespace tanagerspan
