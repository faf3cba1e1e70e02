#ifndef TANAGERSPAN_STATE_SETTINGS_TREE_H
#define TANAGERSPAN_STATE_SETTINGS_TREE_H

// The settings tree as one proxy holds it: one branch for each team.
//
// Invariant: the version of a branch only rises. `merge` takes a branch if
// its version is higher than the one held and ignores it otherwise, so
// merging is idempotent, commutative and never reverts, whatever order the
// branches arrive in and however often. Versions are given by the platform's
// compare-and-set, so one version has one content.
//
// Two trees are compared by a digest for each of `digest_buckets` groups of
// teams; only branches of differing buckets travel.

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

    /// Takes the branch if it is newer. True if the tree changed.
    bool merge(const settings_branch& branch);

    /// The branch of a team, or null. Valid until the next merge.
    const settings_branch* find(std::string_view team) const;

    const std::map<std::string, settings_branch, std::less<>>& branches() const
    {
        return branches_;
    }

    /// One hash a bucket over (team, version); kept up to date by merge.
    const digest& digests() const
    {
        return digests_;
    }

    /// The branches in buckets where `theirs` differs from ours.
    std::vector<settings_branch>
    branches_differing_from(const digest& theirs) const;

private:
    std::map<std::string, settings_branch, std::less<>> branches_;
    digest digests_{};
};

} // namespace tanagerspan

#endif
