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
constexpr std::int64_t at_once_ms = 0;

} // namespace

table_feed::table_feed(boost::asio::io_context& loop, table_store& store,
                       options opts, change_handler changed)
    : loop_(loop), store_(store), options_(std::move(opts)),
      changed_(std::move(changed)), timer_(loop),
      random_(static_cast<std::uint32_t>(options_.seed_)),
      pause_ms_(options_.first_pause_ms_), next_gap_ms_(options_.gap_ms_)
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
    pause_ms_ = options_.first_pause_ms_;
    if (std::exchange(connected_, true))
        return;
    connected_since_ = monotonic_now();
    log_line(log_level::info, "store_regained",
             {{"table", options_.table_}, {"version", version_}});
}

void table_feed::list()
{
    store_.list(
        options_.table_,
        [this, alive = std::weak_ptr<bool>(alive_)](result<table_snapshot> got)
        {
            if (alive.expired())
                return;
            if (!got)
                return on_failure(got.error());
            on_connected();
            listed_ = true;
            version_ = got->version_;
            rows_.clear();
            for (auto& row : got->rows_)
                rows_[row.key_] = std::move(row);
            changed_(rows_);
            watch(options_.wait_ms_);
        });
}

void table_feed::watch(std::int64_t wait_ms)
{
    watched_ = monotonic_now();
    store_.watch(
        options_.table_, version_, wait_ms,
        [this, alive = std::weak_ptr<bool>(alive_)](result<table_snapshot> got)
        {
            if (alive.expired())
                return;
            if (!got)
                return on_failure(got.error());
            on_connected();
            version_ = std::max(version_, got->version_);
            for (auto& row : got->rows_)
            {
                if (row.removed_)
                    rows_.erase(row.key_);
                else
                    rows_[row.key_] = std::move(row);
            }
            if (got->rows_.empty())
                return watch(options_.wait_ms_);
            changed_(rows_);
            watch_after_gap();
        });
}

void table_feed::watch_after_gap()
{
    if (options_.gap_ms_ <= 0)
        return watch(options_.wait_ms_);
    // Each call has a cost, for every host that watches the table. A change
    // after a quiet period is therefore followed by the initial gap only.
    bool series = monotonic_now() - watched_ < next_gap_ms_;
    std::int64_t gap = series ? next_gap_ms_ : options_.gap_ms_;
    next_gap_ms_ =
        std::clamp(gap * 2, options_.gap_ms_, options_.longest_gap_ms_);
    timer_.expires_after(std::chrono::milliseconds(gap));
    timer_.async_wait(
        [this, alive = std::weak_ptr<bool>(alive_)](io_error cancelled)
        {
            if (!cancelled && !alive.expired())
                watch(options_.wait_ms_);
        });
}

void table_feed::on_failure(const failure& why)
{
    bool relist = why.code_ == error_code::compacted || !listed_;
    if (std::exchange(connected_, false) || relist)
        log_line(log_level::info, "store_lost",
                 {{"table", options_.table_},
                  {"failure", std::string(name_of(why.code_))},
                  {"detail", why.detail_}});
    if (why.code_ == error_code::compacted)
        return list();
    std::uniform_int_distribution<std::int64_t> jitter(pause_ms_ / 2,
                                                       pause_ms_);
    timer_.expires_after(std::chrono::milliseconds(jitter(random_)));
    pause_ms_ = std::min(pause_ms_ * 2, options_.longest_pause_ms_);
    timer_.async_wait(
        [this, relist, alive = std::weak_ptr<bool>(alive_)](io_error cancelled)
        {
            if (cancelled || alive.expired())
                return;
            if (relist)
                list();
            else
                watch(at_once_ms);
        });
}

} // namespace tanagerspan
