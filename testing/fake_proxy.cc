#include "testing/fake_proxy.h"

namespace tanagerspan
{
namespace
{

constexpr double tick_ms = 20;
constexpr std::int64_t read_attempt_ms = 400;
constexpr std::int64_t write_attempt_ms = 1000;
constexpr std::int64_t step_timeout_ms = 400;

} // namespace

struct fake_proxy::statement
{
    std::function<statement_action(const group_view&, instant)> step_;
    std::function<void(const attempt_result&, instant)> on_attempt_result_;
    std::vector<operation> operations_;
    std::string request_id_;
    bool reads_ = false;
    bool ended_ = false;
    std::uint64_t wait_number_ = 0; // tells timers of earlier waits apart
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
    loop_.trace("proxy " + name_ + " crashes");
    running_ = false;
    waiting_.clear();
}

void fake_proxy::freeze(std::int64_t ms)
{
    loop_.trace("proxy " + name_ + " freezes for " + std::to_string(ms) +
                " ms");
    frozen_until_ = loop_.now() + ms;
}

void fake_proxy::run_when_awake(const std::function<void()>& work)
{
    if (!running_)
        return;
    if (loop_.now() >= frozen_until_)
    {
        work();
        return;
    }
    loop_.after(static_cast<double>(frozen_until_ - loop_.now()) + 1,
                [this, work]
                {
                    run_when_awake(work);
                });
}

void fake_proxy::tick()
{
    run_when_awake(
        [this]
        {
            tick_monitor();
            loop_.after(tick_ms,
                        [this]
                        {
                            tick();
                        });
        });
}

void fake_proxy::tick_monitor()
{
    for (const auto& wanted : monitor_.tick(loop_.now()))
        execute_action(wanted);
    if (!monitor_.take_changed())
        return;
    for (auto& stmt : std::exchange(waiting_, {}))
        advance(stmt);
}

void fake_proxy::execute_action(const group_monitor::action& wanted)
{
    if (const auto* ask = std::get_if<group_monitor::probe>(&wanted))
    {
        auto known = ask->request_;
        group_.exchange<member_status>(
            name_, ask->member_, known.wait_ms_ + 300, false,
            [this](member_state& at) -> result<member_status>
            {
                auto status = at.status(loop_.now());
                if (group_.disabled_guard() ==
                        guard::replicas_confirm_silence &&
                    !status.leading_ && group_.primary() &&
                    group_.is_cut(name_,
                                  fake_group::name_of(*group_.primary())))
                    status.primary_silence_ms_ = 100'000;
                return status;
            },
            [this, ask = *ask](const result<member_status>& got)
            {
                run_when_awake(
                    [this, ask, got]
                    {
                        monitor_.on_status(ask.member_, ask.asked_,
                                           got ? std::optional(*got)
                                               : std::nullopt,
                                           loop_.now());
                        tick_monitor();
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
            name_, message.member_, step_timeout_ms, true,
            [this, message](member_state& at) -> result<member_status>
            {
                bool leads = message.step_ == promotion::step::lead;
                if (group_.disabled_guard() == guard::fencing_by_term)
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
                run_when_awake(
                    [this, message, asked, got]
                    {
                        auto status = got ? std::optional(*got) : std::nullopt;
                        if (status &&
                            message.step_ == promotion::step::promise &&
                            group_.disabled_guard() ==
                                guard::highest_position_leads)
                            status->position_ = {};
                        monitor_.on_step(message.step_, message.member_, asked,
                                         status, loop_.now());
                        tick_monitor();
                    });
            });
    }
    else if (const auto* pause = std::get_if<group_monitor::hold>(&wanted))
    {
        group_.exchange<member_status>(
            name_, pause->member_, step_timeout_ms, true,
            [this, p = *pause](member_state& at) -> result<member_status>
            {
                return at.hold(p.term_, p.hold_ms_, loop_.now());
            },
            [this, p = *pause](const result<member_status>& got)
            {
                run_when_awake(
                    [this, p,
                     held = got && got->leading_ && got->promised_ == p.term_]
                    {
                        if (held)
                            monitor_.on_held(p.member_, p.term_, loop_.now());
                        tick_monitor();
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

group_view fake_proxy::current_view() const
{
    auto view = monitor_.view();
    if (group_.disabled_guard() == guard::primary_proved_current)
    {
        for (auto& member : view.members_)
            member.asked_ = loop_.now();
    }
    return view;
}

void fake_proxy::advance(const std::shared_ptr<statement>& stmt)
{
    if (!running_ || stmt->ended_)
        return;
    ++stmt->wait_number_;
    auto action = stmt->step_(current_view(), loop_.now());
    if (auto* answer = std::get_if<statement_answer>(&action))
    {
        stmt->ended_ = true;
        if (group_.disabled_guard() == guard::unknown_is_no_refusal &&
            answer->outcome_ == outcome::unknown)
            answer->outcome_ = outcome::not_run;
        stmt->reply_(*answer);
        return;
    }
    if (const auto* wait = std::get_if<wait_for_view>(&action))
    {
        waiting_.push_back(stmt);
        auto wait_number = stmt->wait_number_;
        double span = static_cast<double>(wait->until_ - loop_.now());
        loop_.after(std::max(span, 1.0),
                    [this, stmt, wait_number]
                    {
                        run_when_awake(
                            [this, stmt, wait_number]
                            {
                                if (stmt->wait_number_ != wait_number)
                                    return;
                                waiting_.remove(stmt);
                                advance(stmt);
                            });
                    });
        if (wait->poll_now_)
            monitor_.refresh_view();
        return;
    }
    send(stmt, std::get<send_attempt>(action));
}

void fake_proxy::send(const std::shared_ptr<statement>& stmt,
                      const send_attempt& what)
{
    std::int64_t timeout =
        stmt->reads_ ? read_attempt_ms + what.wait_ms_ : write_attempt_ms;
    auto work = [this, stmt, what](member_state& at) -> attempt_result
    {
        if (stmt->reads_)
            return at.read(stmt->operations_);
        std::string id = stmt->request_id_;
        if (group_.disabled_guard() == guard::recorded_request_ids)
            id.clear();
        return at.execute({.term_ = what.term_,
                           .request_id_ = id,
                           .operations_ = stmt->operations_},
                          loop_.now());
    };
    auto got_reply = [this, stmt](const attempt_result& got)
    {
        run_when_awake(
            [this, stmt, got]
            {
                bool accept_unconfirmed =
                    group_.disabled_guard() == guard::majority_before_done;
                if (got && accept_unconfirmed && !stmt->reads_)
                {
                    stmt->ended_ = true;
                    stmt->reply_({.outcome_ = outcome::done,
                                  .position_ = got->position_,
                                  .results_ = got->results_});
                    return;
                }
                stmt->on_attempt_result_(got, loop_.now());
                advance(stmt);
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
    bool has_id = !request_id.empty() ||
                  group_.disabled_guard() == guard::no_repeat_without_id;
    auto decisions = std::make_shared<write_statement>(write_statement::options{
        .deadline_ = loop_.now() + deadline_ms, .has_request_id_ = has_id});
    auto stmt = std::make_shared<statement>();
    stmt->step_ = [decisions](const group_view& view, instant now)
    {
        return decisions->step(view, now);
    };
    stmt->on_attempt_result_ =
        [decisions](const attempt_result& got, instant now)
    {
        decisions->on_attempt(got, now);
    };
    stmt->operations_ = std::move(operations);
    stmt->request_id_ = std::move(request_id);
    stmt->reply_ = std::move(done);
    run_when_awake(
        [this, stmt]
        {
            advance(stmt);
        });
}

void fake_proxy::read(std::vector<operation> operations,
                      read_statement::options opts, reply done)
{
    if (group_.disabled_guard() == guard::token_covers_read)
        opts.at_least_ = {};
    auto decisions = std::make_shared<read_statement>(opts);
    auto stmt = std::make_shared<statement>();
    stmt->step_ = [decisions](const group_view& view, instant now)
    {
        return decisions->step(view, now);
    };
    stmt->on_attempt_result_ =
        [decisions](const attempt_result& got, instant now)
    {
        decisions->on_attempt(got, now);
    };
    stmt->operations_ = std::move(operations);
    stmt->reads_ = true;
    stmt->reply_ = std::move(done);
    run_when_awake(
        [this, stmt]
        {
            advance(stmt);
        });
}

} // namespace tanagerspan
