#include "coordination/settings_change.h"

#include <algorithm>

namespace tanagerspan
{

settings_change::action settings_change::step(instant now)
{
    if (phase_ != phase::finished && now >= options_.deadline_)
    {
        end(sent_version_
                ? fail(error_code::lost, "sent; the platform did not say")
                : fail(error_code::unavailable, "the platform did not answer"));
    }
    if (phase_ == phase::finished)
        return finish{result_};
    if (phase_ == phase::reading)
        return read_row{};

    std::uint64_t expected = held_ ? held_->branch_.version_ : 0;
    settings_row row{.branch_ = options_.wanted_,
                     .recent_changes_ = held_ ? held_->recent_changes_
                                              : std::vector<std::string>{}};
    row.branch_.version_ = expected + 1;
    row.recent_changes_.push_back(options_.wanted_.change_id_);
    if (row.recent_changes_.size() > max_recent)
        row.recent_changes_.erase(row.recent_changes_.begin());
    sent_version_ = row.branch_.version_;
    return write_row{expected, std::move(row)};
}

void settings_change::on_read(const result<std::optional<settings_row>>& got)
{
    if (!got)
        return; // Read again until the deadline.
    held_ = *got;
    std::uint64_t version = held_ ? held_->branch_.version_ : 0;
    if (held_)
    {
        const auto& recent = held_->recent_changes_;
        if (std::find(recent.begin(), recent.end(),
                      options_.wanted_.change_id_) != recent.end())
        {
            // If a later change is on top, that later branch is in force.
            end(held_->branch_);
            return;
        }
    }
    std::uint64_t expected = options_.expected_.value_or(version);
    if (version != expected)
    {
        end(fail(error_code::conflict,
                 "expected version " + std::to_string(expected) +
                     ", held version " + std::to_string(version)));
        return;
    }
    phase_ = phase::writing;
}

void settings_change::on_write(const result<void>& got)
{
    if (got)
    {
        settings_branch accepted = options_.wanted_;
        accepted.version_ = *sent_version_;
        end(std::move(accepted));
        return;
    }
    // A conflict may be this change's own, sent before: the row tells.
    phase_ = phase::reading;
}

void settings_change::end(result<settings_branch> with)
{
    result_ = std::move(with);
    phase_ = phase::finished;
}

} // namespace tanagerspan
