#include "node/table_feed.h"

#include <algorithm>
#include <utility>

#include "transport/json_log.h"
#include "transport/monotonic_clock.h"

namespace tanagerspan
{
namespace
{

// Wait time of a watch that is answered immediately, with or without changes.
constexpr std::int64_t no_wait_ms = 0;

} // namespace

table_feed::table_feed(boost::asio::io_context& loop, table_store& store,
                       options opts, change_handler changed)
    : loop_(loop), store_(store), options_(std::move(opts)),
      changed_(std::move(changed)), timer_(loop),
      random_(static_cast<std::uint32_t>(options_.seed_)),
      backoff_ms_(options_.initial_backoff_ms_),
      next_delay_ms_(options_.initial_delay_ms_)
{
}

table_feed::~table_feed()
{
    *alive_ = false;
}

void table_feed::start()
{
    list();
}

void table_feed::on_connected()
{
    backoff_ms_ = options_.initial_backoff_ms_;
    if (std::exchange(connected_, true))
        return;
    connected_since_ = monotonic_now();
    log_line(log_level::info, "store_regained",
             {{"table", options_.table_}, {"version", version_}});
}

void table_feed::list()
{
    store_.list(options_.table_,
                [this, alive = std::weak_ptr<bool>(alive_)](
                    result<table_snapshot> answer)
                {
                    if (alive.expired())
                        return;
                    if (!answer)
                        return on_failure(answer.error());
                    on_connected();
                    listed_ = true;
                    version_ = answer->version_;
                    rows_.clear();
                    for (auto& row : answer->rows_)
                        rows_[row.key_] = std::move(row);
                    changed_(rows_);
                    watch(options_.long_poll_ms_);
                });
}

void table_feed::watch(std::int64_t wait_ms)
{
    watch_sent_at_ = monotonic_now();
    store_.watch(options_.table_, version_, wait_ms,
                 [this, alive = std::weak_ptr<bool>(alive_)](
                     result<table_snapshot> answer)
                 {
                     if (alive.expired())
                         return;
                     if (!answer)
                         return on_failure(answer.error());
                     on_connected();
                     version_ = std::max(version_, answer->version_);
                     for (auto& row : answer->rows_)
                     {
                         if (row.removed_)
                             rows_.erase(row.key_);
                         else
                             rows_[row.key_] = std::move(row);
                     }
                     if (answer->rows_.empty())
                         return watch(options_.long_poll_ms_);
                     changed_(rows_);
                     watch_after_delay();
                 });
}

void table_feed::watch_after_delay()
{
    if (options_.initial_delay_ms_ <= 0)
        return watch(options_.long_poll_ms_);
    // Each call has a cost, for every host that watches the table. A change
    // after a quiet period is therefore followed by the initial delay only.
    bool in_series = monotonic_now() - watch_sent_at_ < next_delay_ms_;
    std::int64_t delay =
        in_series ? next_delay_ms_ : options_.initial_delay_ms_;
    next_delay_ms_ = std::clamp(delay * 2, options_.initial_delay_ms_,
                                options_.max_delay_ms_);
    timer_.expires_after(std::chrono::milliseconds(delay));
    timer_.async_wait(
        [this, alive = std::weak_ptr<bool>(alive_)](io_error cancelled)
        {
            if (!cancelled && !alive.expired())
                watch(options_.long_poll_ms_);
        });
}

void table_feed::on_failure(const failure& cause)
{
    bool relist = cause.code_ == error_code::compacted || !listed_;
    if (std::exchange(connected_, false) || relist)
        log_line(log_level::info, "store_lost",
                 {{"table", options_.table_},
                  {"failure", std::string(name_of(cause.code_))},
                  {"detail", cause.detail_}});
    if (cause.code_ == error_code::compacted)
        return list();
    std::uniform_int_distribution<std::int64_t> jitter(backoff_ms_ / 2,
                                                       backoff_ms_);
    timer_.expires_after(std::chrono::milliseconds(jitter(random_)));
    backoff_ms_ = std::min(backoff_ms_ * 2, options_.max_backoff_ms_);
    timer_.async_wait(
        [this, relist, alive = std::weak_ptr<bool>(alive_)](io_error cancelled)
        {
            if (cancelled || alive.expired())
                return;
            if (relist)
                list();
            else
                watch(no_wait_ms);
        });
}

} // namespace tanagerspan
