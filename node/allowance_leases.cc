#include "node/allowance_leases.h"

#include <algorithm>
#include <utility>

#include "transport/json_log.h"
#include "transport/monotonic_clock.h"

namespace tanagerspan
{

allowance_leases::allowance_leases(boost::asio::io_context& loop,
                                   table_store& store, options opts,
                                   change_handler changed)
    : store_(store), options_(std::move(opts)), changed_(std::move(changed)),
      timer_(loop)
{
    for (std::size_t slice = 0; slice < allowance_slices; ++slice)
        slices_.push_back({.lease_ = allowance_lease({.own_ = options_.own_})});
}

allowance_leases::~allowance_leases()
{
    *alive_ = false;
}

std::string allowance_leases::key_of(std::size_t slice)
{
    return "slice-" + std::to_string(slice);
}

void allowance_leases::check(std::size_t slice)
{
    if (slice >= slices_.size())
        return;
    slices_[slice].wanted_ = true;
    read();
}

void allowance_leases::read()
{
    instant now = monotonic_now();
    if (reading_ || now - read_at_ < options_.read_interval_ms_)
        return schedule_tick();
    reading_ = true;
    read_at_ = now;
    store_.list(options_.table_,
                [this, alive = std::weak_ptr<bool>(alive_)](
                    const result<table_snapshot>& answer)
                {
                    if (alive.expired())
                        return;
                    reading_ = false;
                    if (answer)
                        on_read(*answer);
                    schedule_tick();
                });
}

void allowance_leases::on_read(const table_snapshot& snapshot)
{
    instant now = monotonic_now();
    for (std::size_t slice = 0; slice < slices_.size(); ++slice)
    {
        allowance_lease& lease = slices_[slice].lease_;
        // Its own writes tell the holder more than a list, which may be older.
        if (lease.is_active(now) && !lease.needs_reading())
            continue;
        allowance_lease_reading reading{.era_ = era_of(snapshot.version_),
                                        .store_ms_ = snapshot.now_ms_};
        for (const auto& row : snapshot.rows_)
        {
            if (row.key_ != key_of(slice))
                continue;
            reading.version_ = row.version_;
            // A row that cannot be decoded belongs to nobody. It is written
            // anew under its version.
            if (auto decoded = decode_text<allowance_lease_row>(row.value_))
                reading.row_ = *decoded;
            else
                reading.row_ = allowance_lease_row{.era_ = reading.era_};
        }
        lease.on_reading(std::move(reading), now);
        publish(slice);
    }
    write_due();
}

void allowance_leases::write_due()
{
    instant now = monotonic_now();
    for (std::size_t slice = 0; slice < slices_.size(); ++slice)
    {
        slice_state& state = slices_[slice];
        bool held = state.lease_.valid_until() > now;
        if (std::exchange(state.held_, held) && !held)
            log_line(log_level::info, "allowance_lease_ended",
                     {{"slice", slice}});
        if (!held && !state.wanted_)
            continue;
        if (auto row = state.lease_.next_write(now))
            write(slice, *row);
    }
}

void allowance_leases::write(std::size_t slice, const allowance_lease_row& row)
{
    std::string key = key_of(slice);
    table_transaction change{
        .expected_ = {{options_.table_, key, slices_[slice].lease_.version()}},
        .put_ = {{.table_ = options_.table_,
                  .key_ = key,
                  .value_ = encode(row).dump()}}};
    store_.transact(change,
                    [this, slice, alive = std::weak_ptr<bool>(alive_)](
                        const result<transaction_answer>& answer)
                    {
                        if (!alive.expired())
                            on_written(slice, answer);
                    });
}

void allowance_leases::on_written(std::size_t slice,
                                  const result<transaction_answer>& got)
{
    slice_state& state = slices_[slice];
    instant now = monotonic_now();
    bool was_valid = state.lease_.valid_until() > now;
    state.wanted_ = false;
    if (got && got->applied_)
    {
        state.lease_.on_written(got->current_.version_, got->current_.now_ms_);
        if (!was_valid && state.lease_.valid_until() > now)
            log_line(log_level::info, "allowance_lease_taken",
                     {{"slice", slice},
                      {"valid_ms", state.lease_.valid_until() - now}});
        state.held_ = state.lease_.valid_until() > now;
        publish(slice);
    }
    else
    {
        log_line(log_level::info, "allowance_lease_not_written",
                 {{"slice", slice},
                  {"held", was_valid},
                  {"reason",
                   got ? "the row has another version" : got.error().detail_}});
        state.lease_.on_write_failed();
        // A holder renews again before its lease ends.
        state.wanted_ = was_valid;
    }
    schedule_tick();
}

void allowance_leases::publish(std::size_t slice)
{
    const allowance_lease& lease = slices_[slice].lease_;
    changed_({.slice_ = slice,
              .valid_until_ = lease.valid_until(),
              .other_holder_ = lease.other_holder()});
}

void allowance_leases::schedule_tick()
{
    instant now = monotonic_now();
    bool needed = std::any_of(slices_.begin(), slices_.end(),
                              [now](const slice_state& state)
                              {
                                  return state.wanted_ || state.held_ ||
                                         state.lease_.is_active(now);
                              });
    if (!needed || std::exchange(ticking_, true))
        return;
    timer_.expires_after(std::chrono::milliseconds(options_.tick_ms_));
    timer_.async_wait(
        [this, alive = std::weak_ptr<bool>(alive_)](io_error cancelled)
        {
            if (cancelled || alive.expired())
                return;
            ticking_ = false;
            bool unread = std::any_of(slices_.begin(), slices_.end(),
                                      [](const slice_state& state)
                                      {
                                          return state.wanted_ &&
                                                 state.lease_.needs_reading();
                                      });
            if (unread)
                read();
            write_due();
            schedule_tick();
        });
}

void allowance_leases::release_all()
{
    for (auto& state : slices_)
    {
        state.wanted_ = false;
        state.lease_.release();
    }
    write_due();
}

} // namespace tanagerspan
