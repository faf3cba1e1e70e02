#ifndef TANAGERSPAN_COORDINATION_SETTINGS_CHANGE_H
#define TANAGERSPAN_COORDINATION_SETTINGS_CHANGE_H

// One operator's change of one team's branch, from its arrival to a true
// answer.
//
// The platform's row for the branch decides, by compare-and-set on its
// version. The row carries the ids of its last changes, so that after a lost
// answer the row is read back: if it names this change, the change was
// accepted, even if another came on top of it meanwhile; if the version is
// still the expected one, the change is sent again; otherwise it lost.
//
// No I/O: the driver does each action and reports what came of it. One
// thread at a time.

#include <optional>
#include <string>
#include <variant>
#include <vector>

#include "state/instant.h"
#include "state/team_settings.h"

namespace tanagerspan
{

/// The branch as the platform's row holds it.
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

class settings_change
{
public:
    static constexpr std::size_t max_recent = 16;

    struct options
    {
        settings_branch wanted_{}; ///< its version is set here
        /// The version the operator saw; none to change whatever is held.
        std::optional<std::uint64_t> expected_{};
        instant deadline_{};
    };

    struct read_row
    {
    };
    struct write_row
    {
        std::uint64_t expected_;
        settings_row row_;
    };
    /// The branch as accepted, or a failure: conflict (with the held version
    /// in the detail), unavailable (not accepted), lost (not known).
    struct finish
    {
        result<settings_branch> result_;
    };
    using action = std::variant<read_row, write_row, finish>;

    explicit settings_change(options opts) : options_(std::move(opts))
    {
    }

    action step(instant now);

    /// The row, or none if there is no such row yet.
    void on_read(const result<std::optional<settings_row>>& got);
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
