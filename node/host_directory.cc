#include "node/host_directory.h"

#include <algorithm>
#include <utility>

#include "transport/json_log.h"
#include "transport/monotonic_clock.h"

namespace tanagerspan
{

host_directory::host_directory(boost::asio::io_context& loop,
                               table_store& store, options opts,
                               change_handler changed)
    : store_(store), options_(std::move(opts)), changed_(std::move(changed)),
      timer_(loop), next_list_delay_ms_(options_.initial_list_delay_ms_)
{
}

host_directory::~host_directory()
{
    *alive_ = false;
}

void host_directory::start()
{
    list();
}

void host_directory::list()
{
    store_.list(options_.table_,
                [this, alive = std::weak_ptr<bool>(alive_)](
                    result<table_snapshot> answer)
                {
                    if (alive.expired())
                        return;
                    if (answer)
                        return on_list(*answer);
                    connected_since_ = never;
                    schedule(options_.initial_list_delay_ms_);
                });
}

bool host_directory::is_stale(const fleet_host_row& row,
                              const table_snapshot& snapshot) const
{
    constexpr std::int64_t renewals_to_await = 2;
    bool all_could_renew = monotonic_now() - connected_since_ >=
                           options_.renew_period_ms_ * renewals_to_await;
    return all_could_renew &&
           snapshot.now_ms_ - row.seen_ms_ > options_.stale_after_ms_;
}

void host_directory::on_restored()
{
    renewed_at_ = never;
    keep_known_until_ = monotonic_now() + options_.keep_known_ms_;
    next_list_delay_ms_ = options_.initial_list_delay_ms_;
    constexpr std::int64_t at_once = 0;
    schedule(at_once);
}

void host_directory::keep_known_hosts(std::vector<fleet_host>& live) const
{
    for (const auto& known : live_)
    {
        bool listed = std::any_of(live.begin(), live.end(),
                                  [&known](const fleet_host& host)
                                  {
                                      return host.name_ == known.name_;
                                  });
        if (!listed)
            live.push_back(known);
    }
}

void host_directory::on_list(const table_snapshot& snapshot)
{
    instant now = monotonic_now();
    if (connected_since_ == never)
        connected_since_ = now;
    std::vector<fleet_host> live;
    for (const auto& row : snapshot.rows_)
    {
        auto decoded = decode_text<fleet_host_row>(row.value_);
        if (!decoded)
        {
            log_line(log_level::error, "host_row_invalid",
                     {{"host", row.key_}, {"detail", decoded.error().detail_}});
            continue;
        }
        if (row.key_ != options_.own_.name_ && !is_stale(*decoded, snapshot))
            live.push_back(
                {row.key_, decoded->data_centre_, decoded->peers_address_});
    }
    live.push_back(options_.own_);
    if (now < keep_known_until_)
        keep_known_hosts(live);
    std::sort(live.begin(), live.end(),
              [](const fleet_host& left, const fleet_host& right)
              {
                  return left.name_ < right.name_;
              });
    if (!std::exchange(reported_, true) || live != live_)
    {
        log_line(log_level::info, "fleet_hosts",
                 {{"count", live.size()}, {"previous_count", live_.size()}});
        live_ = std::move(live);
        changed_(live_);
    }
    if (!leaving_ && now - renewed_at_ >= options_.renew_period_ms_)
        renew(snapshot.now_ms_);
    schedule(next_list_delay_ms_);
    constexpr std::int64_t growth = 3;
    next_list_delay_ms_ =
        std::min(next_list_delay_ms_ * growth, options_.list_period_ms_);
}

void host_directory::renew(std::int64_t store_now_ms)
{
    renewed_at_ = monotonic_now();
    fleet_host_row row{.data_centre_ = options_.own_.data_centre_,
                       .peers_address_ = options_.own_.peers_address_,
                       .seen_ms_ = store_now_ms};
    table_transaction change{.put_ = {{.table_ = options_.table_,
                                       .key_ = options_.own_.name_,
                                       .value_ = encode(row).dump()}}};
    store_.transact(change,
                    [this, alive = std::weak_ptr<bool>(alive_)](
                        const result<transaction_answer>& answer)
                    {
                        // The row is written again after the next list call.
                        if (!alive.expired() && !answer)
                            renewed_at_ = never;
                    });
}

void host_directory::schedule(std::int64_t after_ms)
{
    timer_.expires_after(std::chrono::milliseconds(after_ms));
    timer_.async_wait(
        [this, alive = std::weak_ptr<bool>(alive_)](io_error cancelled)
        {
            if (!cancelled && !alive.expired())
                list();
        });
}

void host_directory::leave(std::function<void()> done)
{
    leaving_ = true;
    table_transaction change{
        .removed_ = {{.table_ = options_.table_, .key_ = options_.own_.name_}}};
    store_.transact(change,
                    [done = std::move(done)](const result<transaction_answer>&)
                    {
                        done();
                    });
}

} // namespace tanagerspan
