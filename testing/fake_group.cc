#include "testing/fake_group.h"

#include <algorithm>

namespace tanagerspan
{
namespace
{

constexpr std::int64_t pull_timeout_ms = 400;
constexpr std::int64_t pull_wait_ms = 100;
constexpr double pull_pause_ms = 20;
constexpr std::size_t max_pull_entries = 1000;

} // namespace

fake_group::fake_group(event_loop& loop, network_options network,
                       guard disabled_guard, std::int64_t lag_ms)
    : loop_(loop), network_(network), disabled_(disabled_guard), nodes_(members)
{
    for (std::size_t i = 0; i < members; ++i)
    {
        nodes_[i].lag_ms_ = lag_ms;
        nodes_[i].pull_source_ = (i + 1) % members;
    }
}

void fake_group::start()
{
    for (std::size_t i = 0; i < members; ++i)
        pull(i);
}

void fake_group::run_at_member(std::size_t member,
                               const std::function<void(node&)>& apply)
{
    auto& at = nodes_[member];
    if (!at.running_)
        return;
    if (loop_.now() < at.frozen_until_)
    {
        loop_.after(static_cast<double>(at.frozen_until_ - loop_.now()) + 1,
                    [this, member, apply]
                    {
                        run_at_member(member, apply);
                    });
        return;
    }
    apply(at);
}

void fake_group::wake_waiters(std::size_t member)
{
    auto& at = nodes_[member];
    std::vector<waiter> kept;
    auto all = std::exchange(at.waiters_, {});
    for (auto& one : all)
    {
        if (*one.done_)
            continue;
        if (!one.condition_(at.state_))
        {
            kept.push_back(one);
            continue;
        }
        *one.done_ = true;
        loop_.after(0, one.resume_);
    }
    for (auto& one : kept)
        at.waiters_.push_back(std::move(one));
}

void fake_group::wait_for_condition(
    std::size_t member, std::int64_t wait_ms,
    std::function<bool(const member_state&)> condition,
    const std::function<void()>& resume)
{
    if (condition(nodes_[member].state_))
    {
        resume();
        return;
    }
    auto done = std::make_shared<bool>(false);
    nodes_[member].waiters_.push_back({std::move(condition), resume, done});
    loop_.after(static_cast<double>(wait_ms),
                [done, resume]
                {
                    if (!std::exchange(*done, true))
                        resume();
                });
}

void fake_group::pull(std::size_t member)
{
    auto& self = nodes_[member];
    auto retry = [this, member](double pause_ms)
    {
        loop_.after(pause_ms,
                    [this, member]
                    {
                        pull(member);
                    });
    };
    if (!self.running_ || self.state_.leading() ||
        loop_.now() < self.frozen_until_)
    {
        retry(pull_pause_ms);
        return;
    }
    auto ask = self.queue_.next_pull(self.state_);
    std::size_t from = self.pull_source_;
    exchange<pull_answer>(
        name_of(member), from, pull_timeout_ms, false,
        [ask](member_state& at)
        {
            return at.serve_pull(ask, max_pull_entries);
        },
        [this, member, ask, retry](const result<pull_answer>& got)
        {
            auto& self_node = nodes_[member];
            if (!got || !self_node.running_)
            {
                self_node.pull_source_ = (self_node.pull_source_ + 1) % members;
                if (self_node.pull_source_ == member)
                    self_node.pull_source_ =
                        (self_node.pull_source_ + 1) % members;
                retry(pull_pause_ms);
                return;
            }
            run_at_member(member,
                          [this, member, ask, got = *got](node& self)
                          {
                              self.queue_.on_answer(self.state_, ask, got,
                                                    self.lag_ms_, loop_.now());
                              wake_waiters(member);
                              instant due = self.queue_.next_due();
                              if (due == never)
                                  return;
                              double wait = static_cast<double>(self.lag_ms_);
                              loop_.after(wait,
                                          [this, member]
                                          {
                                              run_at_member(
                                                  member,
                                                  [this, member](node& at)
                                                  {
                                                      at.queue_.apply_due(
                                                          at.state_,
                                                          loop_.now());
                                                      wake_waiters(member);
                                                  });
                                          });
                          });
            retry(0.1);
        },
        pull_wait_ms,
        [ask](const member_state& at)
        {
            return !at.leading() || at.log().size() != ask.index_;
        });
}

void fake_group::kill(std::size_t member)
{
    loop_.trace("member " + name_of(member) + " crashes");
    nodes_[member].running_ = false;
}

void fake_group::restart(std::size_t member)
{
    loop_.trace("member " + name_of(member) + " restarts with its log");
    nodes_[member].running_ = true;
}

void fake_group::freeze(std::size_t member, std::int64_t ms)
{
    loop_.trace("member " + name_of(member) + " freezes for " +
                std::to_string(ms) + " ms");
    nodes_[member].frozen_until_ = loop_.now() + ms;
}

void fake_group::set_cut(const std::string& a, const std::string& b, bool cut)
{
    for (const auto& link : {std::pair{a, b}, std::pair{b, a}})
    {
        if (cut)
            cuts_.insert(link);
        else
            cuts_.erase(link);
    }
}

bool fake_group::is_cut(const std::string& a, const std::string& b) const
{
    return cuts_.contains({a, b});
}

std::optional<std::size_t> fake_group::primary() const
{
    std::optional<std::size_t> best;
    for (std::size_t i = 0; i < members; ++i)
    {
        if (!nodes_[i].state_.leading())
            continue;
        if (!best || nodes_[i].state_.position().term_ >
                         nodes_[*best].state_.position().term_)
            best = i;
    }
    return best;
}

void fake_group::record_primaries()
{
    for (std::size_t i = 0; i < members; ++i)
    {
        auto status = nodes_[i].state_.status(loop_.now());
        if (!status.leading_ || term_started_at_.contains(status.promised_))
            continue;
        term_started_at_[status.promised_] = loop_.now();
        loop_.trace("member " + name_of(i) + " becomes primary of term " +
                    std::to_string(status.promised_) + " from position " +
                    std::to_string(status.position_.index_));
    }
}

} // namespace tanagerspan
