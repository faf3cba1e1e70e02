#include "coordination/takeover.h"

#include <algorithm>
#include <tuple>
#include <utility>

namespace tanagerspan
{

using kind = takeover_action::kind;

std::string_view name_of(takeover_reason reason)
{
    switch (reason)
    {
    case takeover_reason::leaving:
        return "leaving";
    case takeover_reason::silent:
        return "silent";
    case takeover_reason::stuck:
        return "stuck";
    case takeover_reason::unfinished:
        return "unfinished";
    default:
        return "no_primary";
    }
}

takeover::takeover(options opts, takeover_reason reason, std::string primary_id,
                   std::vector<takeover_member> members,
                   std::optional<std::string> ordered_before, instant claimed)
    : options_(opts), reason_(reason), primary_id_(std::move(primary_id)),
      ordered_before_(std::move(ordered_before)), claimed_(claimed)
{
    for (auto& one : members)
        members_.push_back({.who_ = std::move(one)});
}

takeover::member_state* takeover::find(const std::string& id)
{
    for (auto& one : members_)
    {
        if (one.who_.id_ == id)
            return &one;
    }
    return nullptr;
}

std::vector<takeover::member_state*> takeover::replicas()
{
    std::vector<member_state*> out;
    for (auto& one : members_)
    {
        if (one.who_.id_ != primary_id_)
            out.push_back(&one);
    }
    return out;
}

bool takeover::lease_over(instant now) const
{
    return now - claimed_ >= options_.lease_ms_;
}

takeover::actions takeover::start(instant now)
{
    phase_since_ = now;
    actions out;
    for (auto& one : members_)
    {
        one.asked_ = now;
        out.push_back({kind::ask_status, one.who_.id_});
    }
    if (members_.empty())
        return finish("", "no endpoint is known");
    return out;
}

takeover::actions takeover::on_status(const std::string& id,
                                      std::optional<endpoint_status> status,
                                      instant now)
{
    member_state* one = find(id);
    if (one == nullptr || finished())
        return {};
    one->answered_ = status.has_value();
    one->failed_ = !status;
    if (status)
        one->status_ = *status;
    if (phase_ == phase::inspecting)
        return judge_inspection(now);
    // An order of an earlier attempt was carried out meanwhile.
    if (phase_ != phase::ordering && status && status->primary_ &&
        id != primary_id_)
        return finish(id, "another one leads already");
    if (phase_ == phase::comparing)
        return judge_comparison(now);
    if (phase_ == phase::demoting)
    {
        if (id != primary_id_ || !status || status->primary_)
            return {};
        phase_ = phase::settling;
        phase_since_ = now;
        return {};
    }
    if (phase_ == phase::holding)
    {
        bool holds = status && status->paused_by_term_ >= hold_term_;
        one->held_ = one->held_ || holds;
        // Its term was not known when the others were asked.
        if (status && !holds && status->term_ >= hold_term_)
            return give_up("a newer term was found");
        return check_held(now);
    }
    if (phase_ == phase::ordering && id == target_ && status &&
        status->primary_ && status->term_ >= hold_term_)
        return finish(target_, "it leads");
    return {};
}

takeover::actions takeover::on_refused(const std::string& id, instant now)
{
    if (member_state* one = find(id))
        one->refused_ = true;
    return on_status(id, std::nullopt, now);
}

takeover::actions takeover::judge_inspection(instant now)
{
    bool all = std::all_of(members_.begin(), members_.end(),
                           [](const member_state& one)
                           {
                               return one.answered_ || one.failed_;
                           });
    if (!all && now - phase_since_ < options_.inspect_ms_)
        return {};
    // A hold may name a term that nobody came to lead.
    std::uint64_t newest = 0;
    std::uint64_t held = 0;
    for (const auto& one : members_)
    {
        newest = std::max(newest, one.status_.term_);
        held = std::max(held, one.status_.paused_by_term_);
    }
    for (const auto& one : members_)
    {
        bool leads = one.answered_ && one.status_.primary_ &&
                     one.status_.term_ == newest && one.who_.id_ != primary_id_;
        if (leads)
            return finish(one.who_.id_, "another one leads already");
    }
    if (newest == 0)
        return give_up("no endpoint answered");
    hold_term_ = std::max(newest, held) + 1;
    member_state* primary = find(primary_id_);
    if (primary != nullptr && !primary->answered_ && primary->refused_)
        return give_up("the primary lives, but is too busy to answer");
    bool alive =
        primary != nullptr && primary->answered_ && primary->status_.primary_;
    if (auto ended = end_early(alive))
        return *ended;
    bool doubted = alive && !primary->who_.leaving_ && !ordered_before_ &&
                   reason_ != takeover_reason::leaving;
    if (doubted)
        return compare(now);
    return alive ? demote(now) : hold_replicas(now);
}

takeover::actions takeover::compare(instant now)
{
    phase_ = phase::comparing;
    phase_since_ = now;
    primary_held_ = find(primary_id_)->status_.received_;
    for (member_state* one : replicas())
    {
        one->answered_ = one->failed_ = false;
        one->asked_ = never;
    }
    return {};
}

takeover::actions takeover::demote(instant now)
{
    phase_ = phase::demoting;
    phase_since_ = now;
    return {{kind::step_down, primary_id_, hold_term_}};
}

takeover::actions takeover::judge_comparison(instant now)
{
    bool all = true;
    for (const member_state* one : replicas())
    {
        if (one->answered_ && one->status_.received_ >= primary_held_)
            return give_up("the primary answers and a replica receives");
        all = all && (one->answered_ || one->failed_);
    }
    bool over =
        now - phase_since_ >= options_.receive_ms_ + options_.inspect_ms_;
    if (!all && !over)
        return {};
    // It leads, but nothing of what it takes is vouched for by a replica.
    return demote(now);
}

std::optional<takeover::actions> takeover::end_early(bool alive)
{
    // An order that may be under way is brought to its end in any case.
    if (!alive || ordered_before_)
        return std::nullopt;
    if (reason_ == takeover_reason::no_primary)
        return finish(primary_id_, "it leads");
    return std::nullopt;
}

takeover::member_state* takeover::choose_target(bool held_only)
{
    member_state* best = nullptr;
    for (member_state* one : replicas())
    {
        if (!one->answered_ || (held_only && !one->held_))
            continue;
        auto rank = [this](const member_state* at)
        {
            return std::tuple{at->status_.received_, !at->who_.leaving_,
                              at->who_.id_ == ordered_before_};
        };
        if (best == nullptr || rank(one) > rank(best))
            best = one;
    }
    return best;
}

takeover::actions takeover::hold_replicas(instant now)
{
    phase_ = phase::holding;
    phase_since_ = now;
    actions out;
    for (member_state* one : replicas())
    {
        one->asked_ = now;
        out.push_back({kind::hold, one->who_.id_, hold_term_});
    }
    if (out.empty())
        return check_held(now);
    return out;
}

takeover::actions takeover::check_held(instant now)
{
    for (const member_state* one : replicas())
    {
        if (!one->held_)
            return {};
    }
    return choose_furthest(now);
}

takeover::actions takeover::choose_furthest(instant)
{
    member_state* best = choose_target(true);
    if (best == nullptr)
        return give_up("no replica is left");
    target_ = best->who_.id_;
    return record();
}

takeover::actions takeover::record()
{
    bool may_be_under_way = ordered_before_ && *ordered_before_ != target_;
    if (may_be_under_way)
        return give_up("an order for another endpoint may be under way");
    phase_ = phase::recording;
    return {{kind::record_target, target_}};
}

takeover::actions takeover::on_recorded(bool recorded, instant now)
{
    if (phase_ != phase::recording)
        return {};
    if (!recorded)
        return give_up("the claim was lost");
    if (lease_over(now))
        return give_up("the lease is over");
    phase_ = phase::ordering;
    phase_since_ = now;
    ordered_at_ = now;
    order_out_ = true;
    return {{kind::order, target_}};
}

takeover::actions takeover::on_ordered(order_outcome outcome, instant now)
{
    if (phase_ != phase::ordering)
        return {};
    order_out_ = false;
    ordered_at_ = now;
    if (outcome == order_outcome::done)
        return finish(target_, "ordered");
    if (outcome == order_outcome::refused)
        return give_up("the order was refused");
    if (outcome == order_outcome::unknown)
    {
        outcome_unknown_ = true;
        return {{kind::ask_status, target_}};
    }
    return {};
}

takeover::actions takeover::tick(instant now)
{
    if (finished())
        return {};
    if (lease_over(now))
        return give_up("the lease is over");
    actions out;
    if (phase_ == phase::inspecting)
        return judge_inspection(now);
    if (phase_ == phase::comparing)
    {
        for (member_state* one : replicas())
        {
            if (one->asked_ != never ||
                now - phase_since_ < options_.receive_ms_)
                continue;
            one->asked_ = now;
            out.push_back({kind::ask_status, one->who_.id_});
        }
        if (out.empty())
            return judge_comparison(now);
    }
    if (phase_ == phase::demoting && now - phase_since_ >= options_.repeat_ms_)
    {
        phase_since_ = now;
        out.push_back({kind::step_down, primary_id_, hold_term_});
    }
    if (phase_ == phase::holding)
    {
        for (member_state* one : replicas())
        {
            if (one->held_ || now - one->asked_ < options_.repeat_ms_)
                continue;
            one->asked_ = now;
            out.push_back({kind::hold, one->who_.id_, hold_term_});
        }
    }
    if (phase_ == phase::settling && now - phase_since_ >= options_.settle_ms_)
        return hold_replicas(now);
    if (phase_ == phase::ordering && !order_out_ &&
        now - ordered_at_ >= options_.order_repeat_ms_)
    {
        ordered_at_ = now;
        order_out_ = true;
        out.push_back({kind::order, target_});
    }
    return out;
}

takeover::actions takeover::on_joined()
{
    bool decided = phase_ == phase::ordering || finished();
    return decided ? actions{} : give_up("an endpoint joined");
}

takeover::actions takeover::releases(const std::string& leader) const
{
    // An order that may be under way would cut what a released replica
    // vouches for from then on.
    if (outcome_unknown_ || order_out_ || ordered_before_)
        return {};
    // A hold without an answer may have been carried out all the same.
    bool holds_sent = phase_ != phase::inspecting;
    actions out;
    for (const auto& one : members_)
    {
        const std::string& id = one.who_.id_;
        if (id == leader || id == primary_id_)
            continue;
        bool may_be_held = holds_sent && id != target_;
        may_be_held =
            may_be_held || one.held_ || one.status_.paused_by_term_ != 0;
        if (may_be_held)
            out.push_back({kind::release, id, hold_term_});
    }
    return out;
}

takeover::actions takeover::give_up(std::string why)
{
    actions out = releases("");
    phase_ = phase::finished;
    out.push_back({kind::finish, "", 0, std::move(why)});
    return out;
}

takeover::actions takeover::finish(std::string leader, std::string why)
{
    // A promotion that is known to be ours has released the replicas itself.
    bool promoted = phase_ == phase::ordering;
    actions out = promoted ? actions{} : releases(leader);
    phase_ = phase::finished;
    out.push_back({kind::finish, std::move(leader), 0, std::move(why)});
    return out;
}

} // namespace tanagerspan
