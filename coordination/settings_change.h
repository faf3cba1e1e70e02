#ifndef TANAGERSPAN_COORDINATION_SETTINGS_CHANGE_H
#define TANAGERSPAN_COORDINATION_SETTINGS_CHANGE_H

// State machine of one operator's change of a team's settings branch.
//
// The platform's row for the branch decides, by compare-and-set on its version.
// The row lists the ids of its latest changes. After a lost answer the row is
// read again: if it lists this change, the change was accepted, even if later
// changes followed; if the version is still the expected one, the change is
// sent again; otherwise another change was accepted first and this one is
// refused.
//
// No I/O: the driver performs each action and reports its result. Not thread
// safe.

#include <optional>
#include <string>
#include <variant>
#include <vector>

#include "state/instant.h"
#include "state/team_settings.h"

namespace tanagerspan
{

/// The content of the platform's row for a branch.
struct settings_row
{
    settings_branch branch_;
    std::vector<std::string> recent_changes_; ///< newest last
};

constexpr auto fields_of(const settings_row*)
{
    return std::tuple{
        field{"branch", &settings_row::branch_, {.required_ = true}},
        field{"recent_changes", &settings_row::recent_changes_}};
}

/// One change. Call `step`, perform its action, report the result; repeat until
/// the action is `finish`.
class settings_change
{
public:
    /// The number of change ids that a row keeps.
    static constexpr std::size_t max_recent = 16;

    struct options
    {
        settings_branch wanted_{}; ///< this class sets its version
        /// The version that the operator expects; none for any version.
        std::optional<std::uint64_t> expected_{};
        instant deadline_{};
    };

    /// Action: read the row, then call `on_read`.
    struct read_row
    {
    };
    /// Action: write the row if its version is `expected_` (0: there is no
    /// row), then call `on_write`.
    struct write_row
    {
        std::uint64_t expected_;
        settings_row row_;
    };
    /// Action: give the operator the accepted branch or the failure: conflict
    /// (the detail has the row's version), unavailable (not accepted), lost
    /// (unknown whether accepted).
    struct finish
    {
        result<settings_branch> result_;
    };
    using action = std::variant<read_row, write_row, finish>;

    explicit settings_change(options opts) : options_(std::move(opts))
    {
    }

    action step(instant now);

    /// Reports the row, or none if it does not exist yet.
    void on_read(const result<std::optional<settings_row>>& got);
    /// Reports whether the write was accepted.
    void on_write(const result<void>& got);

private:
    enum class phase
    {
        reading,
        writing,
        finished
    };

    void finish_with(result<settings_branch> outcome);

    options options_;
    phase phase_ = phase::reading;
    std::optional<settings_row> current_;
    std::optional<std::uint64_t> sent_version_;
    result<settings_branch> result_{};
};

} // namespace tanagerspan

#endif
