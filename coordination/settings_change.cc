#include "coordination/settings_change.h"

#include <algorithm>

namespace tanagerspan
{

settings_change::action settings_change::step(instant now)
{
    if (phase_ != phase::finished && now >= options_.deadline_)
    {
        finish_with(
            sent_version_
                ? fail(error_code::lost, "the change was sent, but the "
                                         "platform did not confirm it")
                : fail(error_code::unavailable, "the platform did not answer"));
    }
    if (phase_ == phase::finished)
        return finish{result_};
    if (phase_ == phase::reading)
        return read_row{};

    std::uint64_t expected = current_ ? current_->branch_.version_ : 0;
    settings_row row{.branch_ = options_.wanted_,
                     .recent_changes_ = current_ ? current_->recent_changes_
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
        return; // `step` reads again until the deadline.
    current_ = *got;
    std::uint64_t version = current_ ? current_->branch_.version_ : 0;
    if (current_)
    {
        const auto& recent = current_->recent_changes_;
        if (std::find(recent.begin(), recent.end(),
                      options_.wanted_.change_id_) != recent.end())
        {
            // The row already contains this change. If a later change has
            // followed, the answer is the later branch, which is in effect.
            finish_with(current_->branch_);
            return;
        }
    }
    std::uint64_t expected = options_.expected_.value_or(version);
    if (version != expected)
    {
        finish_with(fail(error_code::conflict,
                         "expected version " + std::to_string(expected) +
                             ", current version " + std::to_string(version)));
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
        finish_with(std::move(accepted));
        return;
    }
    // The conflict may be with an earlier attempt of this change whose answer
    // was lost; the row's list of changes shows it.
    phase_ = phase::reading;
}

void settings_change::finish_with(result<settings_branch> outcome)
{
    result_ = std::move(outcome);
    phase_ = phase::finished;
}

} // namespace tanagerspan
