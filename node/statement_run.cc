#include "node/statement_run.h"

#include <string>
#include <utility>

namespace tanagerspan
{

attempt_step step_in_flight(const run_options& run)
{
    if (!run.in_transaction())
        return run.writes_ ? attempt_step::lone_write : attempt_step::lone_read;
    bool is_commit = run.statement_.kind_ == statement_kind::commit;
    bool wrote = run.transaction_ && run.transaction_->wrote_;
    if (is_commit)
        return wrote ? attempt_step::commit : attempt_step::commit_read_only;
    return run.transaction_ ? attempt_step::later_inside
                            : attempt_step::first_inside;
}

pinned_transaction updated_transaction(const run_options& run,
                                       pinned_transaction location)
{
    pinned_transaction open = run.transaction_.value_or(std::move(location));
    open.ran_any_ = true;
    open.wrote_ = open.wrote_ || run.writes_;
    return open;
}

run_outcome refused_outcome(const run_options& run, reply_error error,
                            std::string_view why)
{
    if (!options_.transaction_)
    {
        group_->repeats().on_first_attempt();
        return next_attempt();
    }
    way_ = way::inside;
    link_ = options_.transaction_->link_;
    if (!link_->is_open())
        return settle(attempt_failure::connection_lost, std::nullopt,
                      "closed before");
    ask_statement();
}

std::optional<required_position> statement_run::need(instant now) const
{
    const database_route& route = options_.route_;
    if (route.consistency_ == read_consistency::primary ||
        route.max_staleness_ms_ <= 0)
        return std::nullopt;
    group_->on_mark_wanted(now);
    instant since = now - route.max_staleness_ms_ + staleness_margin_ms;
    auto mark = group_->marks().covering(since);
    if (!mark)
        return std::nullopt;
    required_position out{mark->position_, mark->asked_};
    const auto& own = options_.session_->own_commit_;
    if (route.consistency_ != read_consistency::read_your_writes || !own)
        return out;
    // A mark asked for after the commit was acknowledged covers it, also
    // where a later term cut the log.
    if (own->known_since_ >= mark->asked_ && own->position_ > out.position_)
        out = *own;
    return out;
}

void statement_run::choose_way(instant now)
{
    need_.reset();
    bool read_only =
        !options_.writes_ && options_.begin_ != statement_kind::begin;
    if (read_only && !lagged_)
        need_ = need(now);
    if (need_)
        way_ = way::positioned_read;
    else if (options_.begin_)
        way_ = way::inside;
    else
        way_ = options_.writes_ ? way::write : way::proven_read;
}

void statement_run::next_attempt()
{
    instant now = monotonic_now();
    phase_ = phase::waiting;
    retry_at_ = never;
    begun_ = false;
    choose_way(now);
    link_request wanted{
        .primary_ = way_ != way::positioned_read,
        .need_ = need_,
        .excluded_ = excluded_,
        .order_ = {.priority_ = options_.route_.priority_,
                   .latest_start_ = latest_start(
                       options_.arrived_, options_.route_.target_latency_ms_)},
        .session_ = &options_.session_->values_};
    ticket_ = group_->request(
        std::move(wanted),
        [self = shared_from_this()](const link_ptr& link)
        {
            self->on_link(link);
        },
        now);
}

void statement_run::on_link(const link_ptr& link)
{
    ticket_ = 0;
    instant now = monotonic_now();
    if (phase_ != phase::waiting)
        return group_->give_back(link, true, now);
    // The mark was young enough when the wait began; it must be so now.
    if (way_ == way::positioned_read && !(need_ = need(now)))
    {
        group_->give_back(link, true, now);
        return next_attempt();
    }
    link_ = link;
    ++attempts_;
    asked_ = now;
    replay(link);
    if (options_.begin_ || way_ == way::proven_read)
        ask_begin();
    else
        ask_statement();
}

void statement_run::replay(const link_ptr& link)
{
    const prepared_statement* shape =
        options_.shape_ ? &*options_.shape_ : nullptr;
    for (const auto& one :
         replay_statements(options_.session_->values_, shape, link->values_))
    {
        link->ask(one,
                  [link](const result<reply>& got)
                  {
                      // What the connection holds is not known any more.
                      if (got && got->error_)
                          link->close({error_code::lost, "replay refused"});
                  });
    }
}

statement statement_run::begin_statement() const
{
    // A read-only begin is also accepted by a member that lost the lead;
    // only the plain one proves that it leads.
    bool plain = way_ != way::positioned_read;
    statement out{.kind_ = plain ? statement_kind::begin
                                 : statement_kind::begin_read_only};
    if (need_)
        out.min_position_ = need_->position_;
    return out;
}

void statement_run::ask_begin()
{
    phase_ = phase::beginning;
    link_->ask(
        begin_statement(),
        [self = shared_from_this(), link = link_](const result<reply>& got)
        {
            self->on_begin(link, got);
        });
    link_->flush();
}

void statement_run::on_begin(const link_ptr& link, const result<reply>& got)
{
    if (phase_ != phase::beginning || link != link_)
        return;
    if (!got)
        return settle(attempt_failure::connection_lost, std::nullopt,
                      got.error().detail_);
    if (got->error_)
        return settle(failure_of(*got->error_), *got, got->text_);
    begun_ = true;
    if (way_ != way::positioned_read && got->position_)
        group_->marks().add(asked_, *got->position_);
    asked_ = monotonic_now();
    ask_statement();
}

void statement_run::ask_statement()
{
    phase_ = phase::running;
    if (options_.transaction_)
    {
        asked_ = monotonic_now();
        replay(link_);
    }
    statement what = options_.statement_;
    if (options_.shape_)
        what.name_ = link_->values_.prepared_[*options_.shape_];
    if (need_ && !begun_)
        what.min_position_ = need_->position_;
    link_->ask(
        what,
        [self = shared_from_this(), link = link_](const result<reply>& got)
        {
            self->on_statement(link, got);
        });
    if (step() == attempt_step::autocommit_write ||
        step() == attempt_step::commit)
        group_->on_write_asked(link_, asked_);
    link_->flush();
}

void statement_run::on_statement(const link_ptr& link, const result<reply>& got)
{
    if (link != link_)
    {
        if (got && phase_ != phase::finished)
            accept_late(link, *got);
        return;
    }
    if (phase_ != phase::running)
        return;
    if (!got)
        return settle(attempt_failure::connection_lost, std::nullopt,
                      got.error().detail_);
    if (got->error_)
        return settle(failure_of(*got->error_), *got, got->text_);
    group_->on_answered(link_, asked_, monotonic_now());
    succeed(*got);
}

void statement_run::accept_late(const link_ptr&, const reply& got)
{
    if (got.error_)
        return;
    if (ticket_ != 0)
        group_->withdraw(ticket_);
    if (link_)
        group_->abandon(link_, options_.deadline());
    link_.reset();
    finish({.answer_ = got});
}

attempt_step statement_run::step() const
{
    // A transaction whose connection ended before the statement went out is
    // over, whichever statement it was: nothing of it is kept.
    if (phase_ == phase::waiting)
        return options_.transaction_ ? attempt_step::later_in_transaction
                                     : attempt_step::connect;
    if (phase_ == phase::beginning)
        return attempt_step::begin;
    return step_in_flight(options_);
}

void statement_run::succeed(reply got)
{
    instant now = monotonic_now();
    attempt_step at = step();
    bool kept =
        at == attempt_step::autocommit_write || at == attempt_step::commit;
    if (kept && got.position_)
        group_->marks().add(asked_, *got.position_);
    run_outcome outcome{.answer_ = std::move(got)};
    bool ends = options_.statement_.kind_ == statement_kind::commit;
    if (options_.in_transaction() && !ends)
    {
        outcome.transaction_ = continued(options_, {.link_ = link_});
        link_.reset();
        return finish(std::move(outcome));
    }
    bool idle = outcome.answer_.state_ == transaction_state::idle;
    outcome.answer_.state_ = transaction_state::idle;
    if (begun_ && !options_.in_transaction())
        group_->roll_back(link_, now);
    else
        group_->give_back(link_, idle, now);
    link_.reset();
    finish(std::move(outcome));
}

void statement_run::tell_group(attempt_failure how,
                               const std::optional<reply>& got, instant now)
{
    if (!link_)
        return;
    if (how == attempt_failure::connection_lost ||
        how == attempt_failure::timed_out)
        group_->on_failed(link_, now);
    if (!got || !got->error_)
        return;
    if (*got->error_ == reply_error::read_only)
        group_->on_not_primary(link_, now);
    if (*got->error_ == reply_error::busy)
        group_->on_busy(link_);
    if (*got->error_ == reply_error::lagging && need_)
        group_->on_lagging(link_, now - need_->known_since_);
    if (*got->error_ == reply_error::no_statement)
        link_->values_.prepared_.clear();
}

void statement_run::settle(attempt_failure how, const std::optional<reply>& got,
                           std::string_view detail)
{
    instant now = monotonic_now();
    bool may_retry = attempts_ < max_attempts && now < options_.deadline();
    attempt_step at = step();
    attempt_decision decision = decide_after_failure(at, how, may_retry);
    bool positioned = way_ == way::positioned_read;
    std::string reason =
        got && got->error_ ? std::string(name_of(*got->error_)) : "";
    log_line(log_level::info, "attempt_failed",
             {{"request", options_.statement_.id_},
              {"service", options_.route_.service_},
              {"route", options_.route_.name_},
              {"endpoint", link_ ? link_->endpoint().id_ : ""},
              {"step", std::string(name_of(at))},
              {"positioned", positioned},
              {"failure", std::string(name_of(how))},
              {"error", reason},
              {"detail", std::string(detail)},
              {"asked_ms_ago", asked_ == never ? -1 : now - asked_},
              {"age_ms", now - options_.arrived_},
              {"attempt", attempts_},
              {"primary", group_->primary_id(now)},
              {"waiting", group_->waiting()},
              {"served_ms_ago", now - group_->last_served(!positioned)},
              {"retry", decision.action_ == attempt_action::retry}});
    tell_group(how, got, now);
    bool lagging = got && got->error_ == reply_error::lagging;
    if (link_ && way_ == way::positioned_read)
        excluded_.push_back(link_->endpoint().id_);
    // After two replicas lacked the position the primary has it for certain.
    lagged_ = lagged_ || (lagging && excluded_.size() >= 2);
    if (decision.action_ == attempt_action::forward_endpoint_error)
        return deliver_error(*got);
    release(decision, now);
    if (decision.action_ == attempt_action::retry)
        return retry(now);
    refuse(decision.error_, reason.empty() ? detail : reason);
}

void statement_run::retry(instant now)
{
    if (way_ == way::positioned_read)
        return next_attempt();
    phase_ = phase::waiting;
    retry_at_ = now + primary_retry_ms;
}

void statement_run::release(const attempt_decision& decision, instant now)
{
    if (ticket_ != 0)
        group_->withdraw(std::exchange(ticket_, 0));
    if (!link_)
        return;
    bool open_transaction = begun_ || options_.transaction_;
    if (decision.close_connection_)
    {
        // The waiters of this run's own answers must not act on the end.
        phase_ = phase::finished;
        auto link = std::exchange(link_, nullptr);
        group_->give_back(link, false, now);
        return;
    }
    auto link = std::exchange(link_, nullptr);
    if (open_transaction)
        group_->roll_back(link, now);
    else
        group_->give_back(link, true, now);
}

void statement_run::deliver_error(const reply& got)
{
    run_outcome outcome{.answer_ = got};
    bool over =
        !options_.in_transaction() || got.state_ == transaction_state::idle;
    if (over)
    {
        outcome.rolled_back_ = options_.in_transaction();
        outcome.answer_.state_ = transaction_state::idle;
        if (begun_ && !options_.in_transaction())
            group_->roll_back(link_, monotonic_now());
        else
            group_->give_back(link_, got.state_ == transaction_state::idle,
                              monotonic_now());
    }
    else
    {
        outcome.transaction_ = continued(options_, {.link_ = link_});
    }
    link_.reset();
    finish(std::move(outcome));
}

void statement_run::refuse(reply_error error, std::string_view why)
{
    finish(refusal(options_, error, why));
}

void statement_run::tick(instant now)
{
    if (phase_ == phase::finished)
        return;
    if (now >= options_.deadline())
        return settle(attempt_failure::timed_out, std::nullopt, "timeout");
    bool waits = phase_ == phase::waiting && ticket_ != 0;
    if (waits &&
        should_shed(options_.arrived_, options_.route_.timeout_ms_,
                    group_->last_served(way_ != way::positioned_read), now))
        return settle(attempt_failure::timed_out, std::nullopt, "overload");
    if (phase_ == phase::waiting && retry_at_ != never && now >= retry_at_)
        return next_attempt();
    bool silent = phase_ == phase::running && !options_.in_transaction() &&
                  way_ == way::positioned_read && !asked_elsewhere_ &&
                  now - asked_ >= repeat_after_ms(options_.route_);
    if (!silent || !group_->repeats().try_spend())
        return;
    asked_elsewhere_ = true;
    log_line(log_level::info, "read_repeated",
             {{"request", options_.statement_.id_},
              {"endpoint", link_->endpoint().id_},
              {"unanswered_ms", now - asked_}});
    group_->on_failed(link_, now);
    excluded_.push_back(link_->endpoint().id_);
    group_->abandon(link_, options_.deadline());
    link_.reset();
    next_attempt();
}

void statement_run::abandon()
{
    if (phase_ == phase::finished)
        return;
    instant now = monotonic_now();
    if (ticket_ != 0)
        group_->withdraw(std::exchange(ticket_, 0));
    bool lone =
        !options_.in_transaction() && !begun_ && phase_ == phase::running;
    phase_ = phase::finished;
    done_ = nullptr;
    if (!link_)
        return;
    auto link = std::exchange(link_, nullptr);
    if (lone)
        group_->abandon(link, options_.deadline());
    else
        group_->give_back(link, false, now);
}

void statement_run::finish(run_outcome outcome)
{
    phase_ = phase::finished;
    if (auto done = std::exchange(done_, nullptr))
        done(std::move(outcome));
}

} // namespace tanagerspan
