#include "testing/fake_proxy.h"

namespace tanagerspan
{
namespace
{

constexpr double tick_ms = 20;
constexpr std::int64_t read_attempt_ms = 400;
constexpr std::int64_t write_attempt_ms = 1000;
constexpr std::int64_t order_timeout_ms = 400;

} // namespace

struct fake_proxy::statement
{
    std::function<statement_action(const group_view&, instant)> step_;
    std::function<void(const attempt_result&, instant)> on_attempt_;
    std::vector<operation> operations_;
    std::string request_id_;
    bool reads_ = false;
    bool ended_ = false;
    std::uint64_t turn_ = 0; // tells timers of earlier waits apart
    reply reply_;
};

fake_proxy::fake_proxy(event_loop& loop, fake_group& group, std::string name,
                       std::size_t rank, std::uint64_t seed)
    : loop_(loop), group_(group), name_(std::move(name)),
      monitor_({.service_ = "s",
                .members_ = {{"a", ""}, {"b", ""}, {"c", ""}},
                .claimant_ = name_,
                .seed_ = seed},
               loop.now())
{
    monitor_.set_rank(rank);
}

void fake_proxy::start()
{
    tick();
}

void fake_proxy::kill()
{
    loop_.trace("proxy " + name_ + " dies");
    alive_ = false;
    waiting_.clear();
}

void fake_proxy::freeze(std::int64_t ms)
{
    loop_.trace("proxy " + name_ + " freezes for " + std::to_string(ms) +
                " ms");
    frozen_until_ = loop_.now() + ms;
}

void fake_proxy::here(const std::function<void()>& work)
{
    if (!alive_)
        return;
    if (loop_.now() >= frozen_until_)
    {
        work();
        return;
    }
    loop_.after(static_cast<double>(frozen_until_ - loop_.now()) + 1,
                [this, work]
                {
                    here(work);
                });
}

void fake_proxy::tick()
{
    here(
        [this]
        {
            pump_monitor();
            loop_.after(tick_ms,
                        [this]
                        {
                            tick();
                        });
        });
}

void fake_proxy::pump_monitor()
{
    for (const auto& wanted : monitor_.tick(loop_.now()))
        act(wanted);
    if (!monitor_.take_changed())
        return;
    for (auto& one : std::exchange(waiting_, {}))
        pump(one);
}

void fake_proxy::act(const group_monitor::action& wanted)
{
    if (const auto* ask = std::get_if<group_monitor::probe>(&wanted))
    {
        auto known = ask->request_;
        group_.exchange<member_status>(
            name_, ask->member_, known.wait_ms_ + 300, false,
            [this](member_state& at) -> result<member_status>
            {
                auto status = at.status(loop_.now());
                if (group_.removed() == guard::replicas_confirm_silence &&
                    !status.leading_ && group_.primary() &&
                    group_.is_cut(name_,
                                  fake_group::name_of(*group_.primary())))
                    status.primary_silence_ms_ = 100'000;
                return status;
            },
            [this, ask = *ask](const result<member_status>& got)
            {
                here(
                    [this, ask, got]
                    {
                        monitor_.on_status(ask.member_, ask.asked_,
                                           got ? std::optional(*got)
                                               : std::nullopt,
                                           loop_.now());
                        pump_monitor();
                    });
            },
            known.wait_ms_,
            [this, known](const member_state& at)
            {
                auto status = at.status(loop_.now());
                return status.position_ != known.known_ ||
                       status.promised_ != known.known_promised_;
            });
    }
    else if (const auto* step = std::get_if<group_monitor::send_step>(&wanted))
    {
        auto message = step->message_;
        instant asked = loop_.now();
        group_.exchange<member_status>(
            name_, message.member_, order_timeout_ms, true,
            [this, message](member_state& at) -> result<member_status>
            {
                bool leads = message.step_ == promotion::step::lead;
                if (group_.removed() == guard::fencing_by_term)
                {
                    // The member reports the promise but still serves.
                    auto status = at.status(loop_.now());
                    if (leads)
                        at.promise(message.order_, loop_.now());
                    else if (status.promised_ < message.order_.term_)
                    {
                        status.promised_ = message.order_.term_;
                        status.claimant_ = message.order_.claimant_;
                        status.leading_ = false;
                        return status;
                    }
                }
                return leads ? at.lead(message.order_, loop_.now())
                             : at.promise(message.order_, loop_.now());
            },
            [this, message, asked](const result<member_status>& got)
            {
                here(
                    [this, message, asked, got]
                    {
                        auto status = got ? std::optional(*got) : std::nullopt;
                        if (status &&
                            message.step_ == promotion::step::promise &&
                            group_.removed() == guard::highest_position_leads)
                            status->position_ = {};
                        monitor_.on_step(message.step_, message.member_, asked,
                                         status, loop_.now());
                        pump_monitor();
                    });
            });
    }
    else if (const auto* pause = std::get_if<group_monitor::hold>(&wanted))
    {
        group_.exchange<member_status>(
            name_, pause->member_, order_timeout_ms, true,
            [this, p = *pause](member_state& at) -> result<member_status>
            {
                return at.hold(p.term_, p.hold_ms_, loop_.now());
            },
            [this, p = *pause](const result<member_status>& got)
            {
                here(
                    [this, p,
                     held = got && got->leading_ && got->promised_ == p.term_]
                    {
                        if (held)
                            monitor_.on_held(p.member_, p.term_, loop_.now());
                        pump_monitor();
                    });
            });
    }
    else if (const auto* note = std::get_if<group_monitor::decision>(&wanted))
    {
        claims_ += note->what_ == "claim" ? 1 : 0;
        loop_.trace("proxy " + name_ + ": " + note->what_ + " term " +
                    std::to_string(note->term_) + " (" + note->cause_ + ")");
    }
}

group_view fake_proxy::seen() const
{
    auto view = monitor_.view();
    if (group_.removed() == guard::primary_proved_current)
    {
        for (auto& member : view.members_)
            member.asked_ = loop_.now();
    }
    return view;
}

void fake_proxy::pump(const std::shared_ptr<statement>& one)
{
    if (!alive_ || one->ended_)
        return;
    ++one->turn_;
    auto action = one->step_(seen(), loop_.now());
    if (auto* answer = std::get_if<statement_answer>(&action))
    {
        one->ended_ = true;
        if (group_.removed() == guard::unknown_is_no_refusal &&
            answer->outcome_ == outcome::unknown)
            answer->outcome_ = outcome::not_run;
        one->reply_(*answer);
        return;
    }
    if (const auto* wait = std::get_if<wait_for_view>(&action))
    {
        waiting_.push_back(one);
        auto turn = one->turn_;
        double span = static_cast<double>(wait->until_ - loop_.now());
        loop_.after(std::max(span, 1.0),
                    [this, one, turn]
                    {
                        here(
                            [this, one, turn]
                            {
                                if (one->turn_ != turn)
                                    return;
                                waiting_.remove(one);
                                pump(one);
                            });
                    });
        if (wait->poll_now_)
            monitor_.refresh_view();
        return;
    }
    send(one, std::get<send_attempt>(action));
}

void fake_proxy::send(const std::shared_ptr<statement>& one,
                      const send_attempt& what)
{
    std::int64_t timeout =
        one->reads_ ? read_attempt_ms + what.wait_ms_ : write_attempt_ms;
    auto work = [this, one, what](member_state& at) -> attempt_result
    {
        if (one->reads_)
            return at.read(one->operations_);
        std::string id = one->request_id_;
        if (group_.removed() == guard::recorded_request_ids)
            id.clear();
        return at.execute({.term_ = what.term_,
                           .request_id_ = id,
                           .operations_ = one->operations_},
                          loop_.now());
    };
    auto got_reply = [this, one](const attempt_result& got)
    {
        here(
            [this, one, got]
            {
                bool trusting = group_.removed() == guard::majority_before_done;
                if (got && trusting && !one->reads_)
                {
                    one->ended_ = true;
                    one->reply_({.outcome_ = outcome::done,
                                 .position_ = got->position_,
                                 .results_ = got->results_});
                    return;
                }
                one->on_attempt_(got, loop_.now());
                pump(one);
            });
    };
    group_.exchange<execute_answer>(name_, what.member_, timeout, false, work,
                                    got_reply, what.wait_ms_,
                                    [what](const member_state& at)
                                    {
                                        return at.position() >= what.at_least_;
                                    });
}

void fake_proxy::write(std::vector<operation> operations,
                       std::string request_id, std::int64_t deadline_ms,
                       reply done)
{
    bool has_id =
        !request_id.empty() || group_.removed() == guard::no_repeat_without_id;
    auto machine = std::make_shared<write_statement>(write_statement::options{
        .deadline_ = loop_.now() + deadline_ms, .has_request_id_ = has_id});
    auto one = std::make_shared<statement>();
    one->step_ = [machine](const group_view& view, instant now)
    {
        return machine->step(view, now);
    };
    one->on_attempt_ = [machine](const attempt_result& got, instant now)
    {
        machine->on_attempt(got, now);
    };
    one->operations_ = std::move(operations);
    one->request_id_ = std::move(request_id);
    one->reply_ = std::move(done);
    here(
        [this, one]
        {
            pump(one);
        });
}

void fake_proxy::read(std::vector<operation> operations,
                      read_statement::options opts, reply done)
{
    if (group_.removed() == guard::token_covers_read)
        opts.at_least_ = {};
    auto machine = std::make_shared<read_statement>(opts);
    auto one = std::make_shared<statement>();
    one->step_ = [machine](const group_view& view, instant now)
    {
        return machine->step(view, now);
    };
    one->on_attempt_ = [machine](const attempt_result& got, instant now)
    {
        machine->on_attempt(got, now);
    };
    one->operations_ = std::move(operations);
    one->reads_ = true;
    one->reply_ = std::move(done);
    here(
        [this, one]
        {
            pump(one);
        });
}

} // namespace tanagerspan
