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

std::int64_t table_feed::since_last_answer() const
{
    constexpr std::int64_t unknown = -1;
    instant last = answered_at_;
    return last == never ? unknown : monotonic_now() - last;
}

void table_feed::on_answer()
{
    backoff_ms_ = options_.initial_backoff_ms_;
    if (!std::exchange(connected_, true))
    {
        connected_since_ = monotonic_now();
        log_line(log_level::info, "store_regained",
                 {{"table", options_.table_},
                  {"version", number_of(version())},
                  {"era", era_of(version())},
                  {"failed_calls", failed_calls_},
                  {"since_last_answer_ms", since_last_answer()}});
    }
    failed_calls_ = 0;
    answered_at_ = monotonic_now();
}

void table_feed::list()
{
    call_sent_at_ = monotonic_now();
    store_.list(options_.table_,
                [this, alive = std::weak_ptr<bool>(alive_)](
                    result<table_snapshot> answer)
                {
                    if (alive.expired())
                        return;
                    if (!answer)
                        return on_failure(answer.error());
                    on_list(std::move(*answer));
                    // Where the age of the copy matters, it is proven at once.
                    if (options_.complete_ && complete_at_ == never)
                        watch(no_wait_ms);
                    else
                        watch_for_changes();
                });
}

void table_feed::refresh(std::function<void()> done)
{
    store_.list(
        options_.table_,
        [this, done = std::move(done),
         alive = std::weak_ptr<bool>(alive_)](result<table_snapshot> answer)
        {
            // A failure is left to the watch, which may also have
            // read more than this list.
            if (alive.expired() || !answer)
                return;
            if (answer->version_ > version())
                on_list(std::move(*answer));
            if (done)
                done();
        });
}

void table_feed::on_list(table_snapshot snapshot)
{
    on_answer();
    listed_ = true;
    bool restored =
        version() != 0 && era_of(version()) != era_of(snapshot.version_);
    if (restored)
        restored_at_ = snapshot.given_at_;
    changed_since_ = complete_at_;
    version_ = snapshot.version_;
    rows_.clear();
    for (auto& row : snapshot.rows_)
        rows_[row.key_] = std::move(row);
    changed_(rows_);
}

void table_feed::watch_for_changes()
{
    watch(std::max(no_wait_ms,
                   options_.answer_interval_ms_ - since_last_answer()));
}

void table_feed::watch(std::int64_t wait_ms)
{
    call_sent_at_ = monotonic_now();
    store_.watch(options_.table_, version_, wait_ms,
                 [this, alive = std::weak_ptr<bool>(alive_)](
                     result<table_snapshot> answer)
                 {
                     if (alive.expired())
                         return;
                     if (!answer)
                         return on_failure(answer.error());
                     std::int64_t silent_ms = since_last_answer();
                     on_answer();
                     // A refresh has read more.
                     if (answer->version_ < version())
                         return watch_for_changes();
                     version_ = answer->version_;
                     on_complete(*answer);
                     std::size_t changes = answer->rows_.size();
                     for (auto& row : answer->rows_)
                     {
                         if (row.removed_)
                             rows_.erase(row.key_);
                         else
                             rows_[row.key_] = std::move(row);
                     }
                     if (changes == 0)
                     {
                         report_complete();
                         return watch_for_changes();
                     }
                     std::int64_t delay_ms = delay_after_change();
                     log_line(log_level::info, "table_changed",
                              {{"table", options_.table_},
                               {"version", number_of(version())},
                               {"era", era_of(version())},
                               {"rows", changes},
                               {"since_last_answer_ms", silent_ms},
                               {"next_watch_in_ms", delay_ms}});
                     changed_(rows_);
                     report_complete();
                     watch_after(delay_ms);
                 });
}

void table_feed::report_complete()
{
    bool later = complete_at_ > reported_complete_at_;
    if (!options_.complete_ || !later)
        return;
    reported_complete_at_ = complete_at_;
    options_.complete_(complete_at_);
}

void table_feed::on_complete(const table_snapshot& answer)
{
    changed_since_ = complete_at_;
    bool rewriting = restored_at_ != never &&
                     answer.given_at_ - restored_at_ < options_.rewrite_ms_;
    if (!rewriting)
        complete_at_ = std::max<instant>(complete_at_, answer.given_at_);
}

std::int64_t table_feed::delay_after_change()
{
    if (options_.initial_delay_ms_ <= 0)
        return 0;
    // Each call has a cost, for every host that watches the table. A change
    // after a quiet period is therefore followed by the initial delay only.
    bool in_series = monotonic_now() - call_sent_at_ < next_delay_ms_;
    std::int64_t delay =
        in_series ? next_delay_ms_ : options_.initial_delay_ms_;
    next_delay_ms_ = std::clamp(delay * 2, options_.initial_delay_ms_,
                                options_.max_delay_ms_);
    return delay;
}

void table_feed::watch_after(std::int64_t delay_ms)
{
    if (delay_ms <= 0)
        return watch_for_changes();
    timer_.expires_after(std::chrono::milliseconds(delay_ms));
    timer_.async_wait(
        [this, alive = std::weak_ptr<bool>(alive_)](io_error cancelled)
        {
            if (!cancelled && !alive.expired())
                watch_for_changes();
        });
}

void table_feed::on_failure(const failure& cause)
{
    ++failed_calls_;
    bool relist = cause.code_ == error_code::compacted || !listed_;
    if (std::exchange(connected_, false) || relist)
        log_line(log_level::info, "store_lost",
                 {{"table", options_.table_},
                  {"failure", std::string(name_of(cause.code_))},
                  {"detail", cause.detail_},
                  {"version", number_of(version())},
                  {"era", era_of(version())},
                  {"waited_ms", monotonic_now() - call_sent_at_},
                  {"since_last_answer_ms", since_last_answer()}});
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
