#ifndef TANAGERSPAN_STATE_SETTINGS_TREE_H
#define TANAGERSPAN_STATE_SETTINGS_TREE_H

// One proxy's copy of the settings tree, with one branch per team.
//
// Invariant: the version of a branch only increases. `merge` takes a branch
// if its version is higher than that of the current branch and ignores it
// otherwise, so merging is idempotent and commutative and never reverts a
// change, in whatever order and however often branches arrive. The platform's
// compare-and-set assigns versions, so that a version identifies one content.
//
// Teams are divided into `digest_buckets` groups with a digest each. Two
// proxies compare digests and send only the branches of buckets that differ.

#include <array>
#include <cstdint>
#include <map>
#include <string>
#include <string_view>
#include <vector>

#include "state/team_settings.h"

namespace tanagerspan
{

class settings_tree
{
public:
    static constexpr std::size_t digest_buckets = 16;
    using digest = std::array<std::uint64_t, digest_buckets>;

    /// Takes the branch if it is newer. Returns true if the tree changed.
    bool merge(const settings_branch& branch);

    /// Returns the branch of a team, or null. Valid until the next merge.
    const settings_branch* find(std::string_view team) const;

    const std::map<std::string, settings_branch, std::less<>>& branches() const
    {
        return branches_;
    }

    /// One hash per bucket over (team, version); updated by merge.
    const digest& digests() const
    {
        return digests_;
    }

    /// Returns the branches in the buckets whose digest differs from that in
    /// `theirs`.
    std::vector<settings_branch>
    branches_differing_from(const digest& theirs) const;

private:
    std::map<std::string, settings_branch, std::less<>> branches_;
    digest digests_{};
};

} // namespace tanagerspan

#endif
