#ifndef TANAGERSPAN_COORDINATION_GROUP_MODEL_TEST_H
#define TANAGERSPAN_COORDINATION_GROUP_MODEL_TEST_H

// A group in memory that carries out the commands of an attempt immediately.

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
        bool alive_ = true;
        bool held_ = false;
        bool receives_ = true; ///< from the primary
        std::uint64_t held_term_ = 0;
    };
    /// "n" joins late and is unknown to attempts.
    std::vector<member> members_{{"p"}, {"a"}, {"b"}, {"n"}};
    std::string leader_ = "p";
    std::uint64_t term_ = 1;
    log_position acknowledged_{1, 10};

    member& of(const std::string& id)
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
        if (leader_.empty() || !of(leader_).alive_)
            return;
        member& leader = of(leader_);
        leader.log_ = {term_, leader.log_.index_ + 1};
        member& to = of(receiver);
        bool received =
            receiver != leader_ && to.alive_ && !to.held_ && to.receives_;
        if (!received)
            return;
        to.log_ = leader.log_;
        acknowledged_ = leader.log_;
    }

    std::optional<endpoint_status> status(const std::string& id)
    {
        const member& one = of(id);
        if (!one.alive_)
            return std::nullopt;
        return endpoint_status{.primary_ = id == leader_,
                               .term_ = one.log_.term_,
                               .received_ = one.log_,
                               .paused_by_term_ = one.held_term_};
    }

    void hold(const std::string& id, std::uint64_t term)
    {
        member& one = of(id);
        if (one.alive_ && id != leader_ && term > term_)
        {
            one.held_ = true;
            one.held_term_ = term;
        }
    }

    void step_down(const std::string& id, std::uint64_t term)
    {
        if (id == leader_ && of(id).alive_ && term > term_)
            leader_.clear();
    }

    void release(const std::string& id)
    {
        of(id).held_ = false;
        of(id).held_term_ = 0;
    }

    void promote(const std::string& id)
    {
        if (id == leader_ || !of(id).alive_)
            return;
        leader_ = id;
        ++term_;
        for (auto& one : members_)
        {
            one.held_ = false;
            one.held_term_ = 0;
            one.log_ = std::min(one.log_, of(id).log_);
        }
    }
};

} // namespace tanagerspan

#endif
