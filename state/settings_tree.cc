#include "state/settings_tree.h"

#include <xxhash.h>

namespace tanagerspan
{
namespace
{

std::size_t bucket_of(std::string_view team)
{
    return XXH3_64bits(team.data(), team.size()) %
           settings_tree::digest_buckets;
}

// A bucket's digest is the exclusive or of the hashes of its branches, so that
// replacing one branch does not need the others.
std::uint64_t hash_of(std::string_view team, std::uint64_t version)
{
    return XXH3_64bits_withSeed(team.data(), team.size(), version);
}

} // namespace

bool settings_tree::merge(const settings_branch& branch)
{
    auto& digest = digests_[bucket_of(branch.team_)];
    auto at = branches_.find(branch.team_);
    if (at == branches_.end())
    {
        digest ^= hash_of(branch.team_, branch.version_);
        branches_.emplace(branch.team_, branch);
        return true;
    }
    if (branch.version_ <= at->second.version_)
        return false;
    digest ^= hash_of(branch.team_, at->second.version_);
    digest ^= hash_of(branch.team_, branch.version_);
    at->second = branch;
    return true;
}

const settings_branch* settings_tree::find(std::string_view team) const
{
    auto at = branches_.find(team);
    return at == branches_.end() ? nullptr : &at->second;
}

std::vector<settings_branch>
settings_tree::branches_differing_from(const digest& theirs) const
{
    std::vector<settings_branch> out;
    for (const auto& [team, branch] : branches_)
    {
        if (theirs[bucket_of(team)] != digests_[bucket_of(team)])
            out.push_back(branch);
    }
    return out;
}

} // namespace tanagerspan
