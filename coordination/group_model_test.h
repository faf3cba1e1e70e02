#ifndef TANAGERSPAN_COORDINATION_GROUP_MODEL_TEST_H
#define TANAGERSPAN_COORDINATION_GROUP_MODEL_TEST_H

// An in-memory group of endpoints that executes the commands of a takeover
// attempt immediately.

#include <algorithm>
#include <optional>
#include <string>
#include <vector>

#include "state/session_messages.h"

namespace tanagerspan
{

/// A group in which a change is acknowledged once one replica received it.
struct group_model
{
    struct member
    {
        std::string id_;
        log_position log_{1, 10};
        bool running_ = true;
        bool paused_ = false;
        bool receives_ = true; ///< from the primary
        std::uint64_t paused_by_term_ = 0;
    };
    /// "n" joins late and is unknown to attempts.
    std::vector<member> members_{{"p"}, {"a"}, {"b"}, {"n"}};
    bool has_joined_ = false; ///< "n" is in the list of endpoints
    std::string primary_ = "p";
    std::uint64_t term_ = 1;
    log_position acknowledged_{1, 10};

    member& find(const std::string& id)
    {
        return *std::find_if(members_.begin(), members_.end(),
                             [&](const member& one)
                             {
                                 return one.id_ == id;
                             });
    }

    /// The primary writes a change, which `receiver` receives if it can.
    void commit(const std::string& receiver)
    {
        if (primary_.empty() || !find(primary_).running_)
            return;
        member& primary = find(primary_);
        primary.log_ = {term_, primary.log_.index_ + 1};
        member& to = find(receiver);
        bool received =
            receiver != primary_ && to.running_ && !to.paused_ && to.receives_;
        if (!received)
            return;
        to.log_ = primary.log_;
        acknowledged_ = primary.log_;
    }

    std::optional<endpoint_status> status(const std::string& id)
    {
        const member& one = find(id);
        if (!one.running_)
            return std::nullopt;
        return endpoint_status{.primary_ = id == primary_,
                               .term_ = one.log_.term_,
                               .received_ = one.log_,
                               .paused_by_term_ = one.paused_by_term_};
    }

    void pause(const std::string& id, std::uint64_t term)
    {
        member& one = find(id);
        if (one.running_ && id != primary_ && term > term_)
        {
            one.paused_ = true;
            one.paused_by_term_ = term;
        }
    }

    void step_down(const std::string& id, std::uint64_t term)
    {
        if (id == primary_ && find(id).running_ && term > term_)
            primary_.clear();
    }

    void resume(const std::string& id)
    {
        find(id).paused_ = false;
        find(id).paused_by_term_ = 0;
    }

    void promote(const std::string& id)
    {
        if (id == primary_ || !find(id).running_)
            return;
        primary_ = id;
        ++term_;
        for (auto& one : members_)
        {
            one.paused_ = false;
            one.paused_by_term_ = 0;
            one.log_ = std::min(one.log_, find(id).log_);
        }
    }
};

} // namespace tanagerspan

#endif
