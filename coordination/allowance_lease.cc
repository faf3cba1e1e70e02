#include "coordination/allowance_lease.h"

#include <algorithm>
#include <utility>

namespace tanagerspan
{

void allowance_lease::on_reading(allowance_lease_reading reading, instant now)
{
    if (std::exchange(era_, reading.era_) != reading.era_)
        era_seen_at_ = now;
    reading_ = std::move(reading);
    read_at_ = now;
}

bool allowance_lease::is_own(const allowance_lease_row& row) const
{
    return row.holder_ == options_.own_.name_ &&
           row.address_ == options_.own_.peers_address_;
}

bool allowance_lease::may_claim(instant now) const
{
    const auto& row = reading_->row_;
    bool current = row ? row->era_ == era_ : era_ == 0;
    if (!current)
        return now - era_seen_at_ >= options_.length_ms_;
    if (!row || is_own(*row))
        return true;
    // The store's clock has advanced at least as much as this host's since the
    // answer arrived.
    return reading_->store_ms_ + (now - read_at_) > row->until_ms_;
}

std::optional<allowance_lease_row> allowance_lease::next_write(instant now)
{
    if (!reading_ || writing_)
        return std::nullopt;
    const auto& row = reading_->row_;
    bool held = row && is_own(*row) && valid_until_ > now;
    if (releasing_ && !held)
        return std::nullopt;
    bool due = !held || releasing_ || now - sent_at_ >= options_.renew_ms_;
    if (!due || (!held && !may_claim(now)))
        return std::nullopt;
    allowance_lease_row out{.era_ = era_};
    if (!releasing_)
    {
        out.holder_ = options_.own_.name_;
        out.address_ = options_.own_.peers_address_;
        // The reading may be some seconds old. That shortens the lease.
        out.until_ms_ =
            reading_->store_ms_ + (now - read_at_) + options_.length_ms_;
    }
    else
    {
        valid_until_ = never;
    }
    writing_ = true;
    sent_at_ = now;
    sent_ = out;
    return out;
}

void allowance_lease::on_written(std::int64_t version, std::int64_t store_ms)
{
    writing_ = false;
    // The next renewal relies on this answer's clock, which is not older than
    // the write.
    reading_ = {.row_ = sent_,
                .version_ = version,
                .era_ = era_,
                .store_ms_ = store_ms};
    read_at_ = sent_at_;
    if (is_own(*sent_))
        valid_until_ = sent_at_ + std::min(sent_->until_ms_ - store_ms,
                                           options_.length_ms_);
}

void allowance_lease::on_write_failed()
{
    writing_ = false;
    reading_.reset();
}

void allowance_lease::release()
{
    releasing_ = true;
}

std::optional<fleet_host> allowance_lease::other_holder() const
{
    if (!reading_ || !reading_->row_ || reading_->row_->holder_.empty() ||
        is_own(*reading_->row_))
        return std::nullopt;
    return fleet_host{.name_ = reading_->row_->holder_,
                      .data_centre_ = "",
                      .peers_address_ = reading_->row_->address_};
}

} // namespace tanagerspan
