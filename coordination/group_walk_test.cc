// The group of a walk: its endpoints, its log and the platform's promotions.

#include "coordination/group_walk_test.h"

#include <algorithm>

namespace tanagerspan
{
namespace
{

constexpr std::size_t most_members = 5;

// A crashed endpoint restarts no earlier than this.
constexpr std::int64_t shortest_start_ms = 1000;

// The longest time for which a running endpoint is cut off from the store.
constexpr std::int64_t longest_lapse_ms = 9'000;

bool starts_with(const std::vector<log_position>& log,
                 const std::vector<log_position>& head)
{
    return head.size() <= log.size() &&
           std::equal(head.begin(), head.end(), log.begin());
}

} // namespace

group_walk::group_walk(std::uint64_t seed, walk_options opts)
    : random_(seed), options_(opts)
{
    for (const char* id : {"p", "a", "b"})
        members_.push_back({.id_ = id, .log_ = {{1, 1}}});
    leader_ = 0;
    acked_.push_back({1, 1});
    hosts_.resize(hosts_count);
    for (std::size_t i = 0; i < hosts_.size(); ++i)
    {
        hosts_[i].name_ = "host-" + std::to_string(i);
        see(hosts_[i]);
    }
}

bool group_walk::chance(int percent)
{
    return static_cast<int>(random_() % 100) < percent;
}

std::size_t group_walk::pick(std::size_t count)
{
    return random_() % count;
}

void group_walk::note(const std::string& text)
{
    if (keep_trace_)
        trace_.push_back(std::to_string(now_.ms_ - 100'000) + " " + text);
}

bool group_walk::run()
{
    for (int i = 0; i < options_.steps_ && !lost_; ++i)
        step();
    return !lost_;
}

void group_walk::step()
{
    // Requests take milliseconds; all other events are rare.
    if (!questions_.empty() && chance(70))
    {
        // Usually in the order of sending.
        std::size_t index = chance(80) ? 0 : pick(questions_.size());
        question& one = questions_[index];
        if (hosts_[one.host_].frozen_ && one.done_)
            return pass_time();
        if (!one.done_)
            carry_out_question(one);
        else
            deliver(index);
        return;
    }
    std::size_t what = pick(100);
    if (what < 28)
        return pass_time();
    if (what < 54)
        return write();
    if (what < 70)
        return change_group();
    if (what < 73)
        return change_hosts();
    host& at = hosts_[pick(hosts_.size())];
    if (at.frozen_)
        return;
    see(at);
    if (!at.attempt_)
        claim(at);
    else
        perform(at, at.attempt_->tick(now_));
}

void group_walk::pass_time()
{
    constexpr std::int64_t spans[] = {1, 10, 40, 150, 300, 700, 1500, 4000};
    instant end = now_ + spans[pick(std::size(spans))];
    while (now_ < end)
    {
        now_ = std::min(next_arrival(), end);
        arrive();
    }
    for (auto& one : members_)
    {
        // A running endpoint that is not listed is cut off from the store.
        if (!one.listed_ && !one.gone_ && one.alive_ &&
            now_ - one.unlisted_since_ > longest_lapse_ms)
        {
            one.listed_ = true;
            // The feed reports every change, also to a host that resumes later.
            for (auto& at : hosts_)
                see_endpoints(at);
        }
    }
    for (std::size_t i = 0; i < hosts_.size(); ++i)
    {
        host& at = hosts_[i];
        if (!at.frozen_ && at.attempt_)
            perform(at, at.attempt_->tick(now_));
    }
}

instant group_walk::next_arrival() const
{
    instant next = now_ + 1'000'000;
    for (const auto& one : late_)
        next = std::min(next, one.due_);
    for (const auto& one : promotions_due_)
        next = std::min(next, one.due_);
    return std::max(next, now_ + 1);
}

void group_walk::arrive()
{
    for (std::size_t i = 0; i < late_.size();)
    {
        if (late_[i].due_ > now_)
        {
            ++i;
            continue;
        }
        late_order one = late_[i];
        late_.erase(late_.begin() + static_cast<std::ptrdiff_t>(i));
        note("arrives late: " + one.action_.endpoint_id_);
        if (one.action_.kind_ == kind::order)
            call_platform(one.action_, one.token_);
        else
            carry_out(one.action_);
    }
    for (std::size_t i = 0; i < promotions_due_.size();)
    {
        if (promotions_due_[i].due_ > now_)
        {
            ++i;
            continue;
        }
        int target = promotions_due_[i].target_;
        promotions_due_.erase(promotions_due_.begin() +
                              static_cast<std::ptrdiff_t>(i));
        promote(target);
    }
}

int group_walk::member_of(const std::string& id) const
{
    for (std::size_t i = 0; i < members_.size(); ++i)
    {
        if (members_[i].id_ == id)
            return static_cast<int>(i);
    }
    return nobody;
}

void group_walk::write()
{
    if (leader_ == nobody || !members_[leader_].alive_)
        return;
    member& leader = members_[leader_];
    if (chance(70) && leader.log_.size() < 60)
        leader.log_.push_back({term_, leader.log_.back().index_ + 1});
    for (std::size_t i = 0; i < members_.size(); ++i)
    {
        if (chance(60))
            replicate(i);
    }
    for (auto& at : hosts_)
    {
        if (chance(40) && leader.answers_)
            at.marks_.push_back({now_, leader.log_.back()});
    }
}

void group_walk::replicate(std::size_t at)
{
    member& to = members_[at];
    if (leader_ == nobody || static_cast<int>(at) == leader_ || !to.alive_ ||
        !to.receives_ || to.held_term_ > term_ || !members_[leader_].alive_)
        return;
    to.held_term_ = 0;
    to.known_term_ = term_;
    const auto& log = members_[leader_].log_;
    if (to.log_ == log)
        return;
    // The log is sent in parts, so a replica may receive one entry or all.
    std::size_t count = starts_with(log, to.log_) && chance(50)
                            ? std::min(to.log_.size() + 1, log.size())
                            : log.size();
    to.log_.assign(log.begin(),
                   log.begin() + static_cast<std::ptrdiff_t>(count));
    acknowledge();
}

void group_walk::acknowledge()
{
    const auto& log = members_[leader_].log_;
    std::size_t vouched = 0;
    for (std::size_t i = 0; i < members_.size(); ++i)
    {
        const member& one = members_[i];
        bool voucher = static_cast<int>(i) != leader_ && one.alive_ &&
                       !one.gone_ && one.known_term_ == term_ &&
                       starts_with(log, one.log_);
        if (voucher)
            vouched = std::max(vouched, one.log_.size());
    }
    if (vouched > acked_.size() || !starts_with(log, acked_))
    {
        if (starts_with(log, acked_))
        {
            acked_.assign(log.begin(),
                          log.begin() + static_cast<std::ptrdiff_t>(vouched));
            ++acknowledged_;
            note("acknowledged up to " + std::to_string(acked_.back().term_) +
                 "." + std::to_string(acked_.back().index_));
        }
    }
}

void group_walk::crash(std::size_t at)
{
    member& one = members_[at];
    if (one.gone_)
        return;
    if (one.alive_)
        one.crashed_ = now_;
    one.alive_ = false;
    note("crash " + one.id_);
}

void group_walk::restart(std::size_t at)
{
    member& one = members_[at];
    if (one.alive_ || one.gone_ || now_ - one.crashed_ < shortest_start_ms)
        return;
    if (!options_.changes_while_ordered_ && order_on_its_way())
        return;
    one.alive_ = one.listed_ = true;
    one.held_term_ = 0;
    // A restarted endpoint often has another id.
    if (options_.membership_ && chance(50))
    {
        std::string id = "r" + std::to_string(++joined_);
        note("reborn " + one.id_ + " as " + id);
        one.id_ = id;
        one.leaving_ = false;
    }
    // A primary that restarts is primary again if no other was promoted.
    if (leader_ == nobody && static_cast<int>(at) == last_leader_)
        leader_ = static_cast<int>(at);
    note("restart " + one.id_);
    for (auto& seen : hosts_)
        see_endpoints(seen);
}

bool group_walk::order_on_its_way() const
{
    bool late = std::any_of(late_.begin(), late_.end(),
                            [](const late_order& one)
                            {
                                return one.action_.kind_ == kind::order;
                            });
    bool asked =
        std::any_of(questions_.begin(), questions_.end(),
                    [](const question& one)
                    {
                        return one.action_.kind_ == kind::order ||
                               one.action_.kind_ == kind::record_target;
                    });
    bool frozen = std::any_of(hosts_.begin(), hosts_.end(),
                              [](const host& one)
                              {
                                  return one.frozen_ && one.attempt_;
                              });
    return late || asked || frozen || !promotions_due_.empty();
}

void group_walk::join()
{
    if (!options_.changes_while_ordered_ && order_on_its_way())
        return;
    auto standing = std::count_if(members_.begin(), members_.end(),
                                  [](const member& one)
                                  {
                                      return !one.gone_;
                                  });
    if (standing >= static_cast<std::ptrdiff_t>(most_members))
        return;
    std::string id = "n" + std::to_string(++joined_);
    members_.push_back({.id_ = id, .log_ = {{1, 1}}});
    note("join " + id);
    for (auto& at : hosts_)
        see_endpoints(at);
}

void group_walk::change_group()
{
    std::size_t at = pick(members_.size());
    member& one = members_[at];
    switch (pick(9))
    {
    case 0:
        if (options_.crashes_)
            crash(at);
        break;
    case 1:
    case 2:
        restart(at);
        break;
    case 3:
        if (options_.cuts_)
        {
            one.answers_ = !one.answers_;
            note((one.answers_ ? "answers " : "answers not ") + one.id_);
        }
        break;
    case 4:
        if (options_.cuts_)
        {
            one.receives_ = !one.receives_;
            note((one.receives_ ? "receives " : "receives not ") + one.id_);
        }
        break;
    case 5:
        if (options_.membership_ && chance(40))
            join();
        break;
    case 6:
        if (options_.membership_ && static_cast<int>(at) != leader_)
        {
            // A leaving endpoint takes part until it is removed with its log.
            if (one.leaving_ && chance(40))
            {
                one.alive_ = one.listed_ = false;
                one.gone_ = true;
            }
            one.leaving_ = true;
            note("leaves " + one.id_ + (one.gone_ ? " gone" : ""));
        }
        break;
    case 7:
        if (options_.membership_ && !one.gone_ && chance(50))
        {
            one.listed_ = !one.listed_;
            one.unlisted_since_ = now_;
            for (auto& seen : hosts_)
                see_endpoints(seen);
            note((one.listed_ ? "listed " : "unlisted ") + one.id_);
        }
        break;
    default:
        one.answers_ = one.receives_ = true;
        restart(at);
        break;
    }
}

endpoint_status group_walk::status_of(const member& one) const
{
    bool leads = leader_ != nobody && &members_[leader_] == &one;
    return {.primary_ = leads,
            .term_ = std::max(one.known_term_, one.log_.back().term_),
            .received_ = one.log_.back(),
            .paused_by_term_ = leads ? 0 : one.held_term_};
}

void group_walk::carry_out(const takeover_action& action)
{
    int at = member_of(action.endpoint_id_);
    if (at == nobody || !members_[at].alive_)
        return;
    member& one = members_[at];
    bool leads = at == leader_;
    if (action.kind_ == kind::pause && !leads && action.term_ > one.known_term_)
        one.held_term_ = std::max(one.held_term_, action.term_);
    if (action.kind_ == kind::resume)
        one.held_term_ = 0;
    if (action.kind_ == kind::step_down && leads && action.term_ > term_)
    {
        leader_ = nobody;
        last_leader_ = at;
    }
}

takeover::order_outcome group_walk::call_platform(const takeover_action& action,
                                                  std::int64_t token)
{
    int at = member_of(action.endpoint_id_);
    if (token < token_seen_ || at == nobody || !members_[at].alive_)
        return takeover::order_outcome::refused;
    token_seen_ = token;
    if (at != leader_)
        promotions_due_.push_back(
            {now_ + 200 + static_cast<std::int64_t>(pick(800)), at});
    return takeover::order_outcome::done;
}

void group_walk::promote(int target)
{
    member& to = members_[target];
    if (target == leader_ || !to.alive_)
        return;
    ++promotions_;
    note("leads " + to.id_ + " of term " + std::to_string(term_ + 1) + " at " +
         std::to_string(to.log_.back().term_) + "." +
         std::to_string(to.log_.back().index_));
    if (!starts_with(to.log_, acked_))
    {
        lost_ = true;
        note("LOST up to " + std::to_string(acked_.back().term_) + "." +
             std::to_string(acked_.back().index_));
    }
    leader_ = last_leader_ = target;
    ++term_;
    to.known_term_ = term_;
    to.held_term_ = 0;
}

} // namespace tanagerspan
