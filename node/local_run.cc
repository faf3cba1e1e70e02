#include "node/local_run.h"

#include <algorithm>
#include <utility>

#include "transport/json_log.h"
#include "transport/monotonic_clock.h"

namespace tanagerspan
{
namespace
{

// Allowance for the time from the check of a mark's age to the arrival of the
// statement: a few round trips between data centres and the scheduling delay
// of a busy process.
constexpr std::int64_t staleness_margin_ms = 150;

// Pause before the next attempt at the primary after it refused. Proxies
// receive a completed promotion within this time.
constexpr std::int64_t primary_retry_ms = 50;

// The limit of attempts per statement, whatever the failures. The timeout
// usually applies first.
constexpr std::int64_t max_attempts = 20;

// A read that is unanswered for this fraction of its target latency is repeated
// at another endpoint, but not sooner than an endpoint's usual queue takes.
constexpr double repeat_after_target = 0.6;
constexpr std::int64_t least_repeat_after_ms = 150;

std::int64_t repeat_after_ms(const database_route& route)
{
    auto part = static_cast<std::int64_t>(
        static_cast<double>(route.target_latency_ms_) * repeat_after_target);
    return std::max(part, least_repeat_after_ms);
}

} // namespace

local_run::local_run(std::shared_ptr<endpoint_group> group, run_options opts,
                     done_handler done)
    : group_(std::move(group)), options_(std::move(opts)),
      done_(std::move(done))
{
}

void local_run::start()
{
    if (!options_.transaction_)
    {
        group_->repeats().on_first_attempt();
        return next_attempt();
    }
    way_ = way::inside;
    link_ = options_.transaction_->link_;
    if (!link_->is_open())
        return settle(attempt_failure::lost, std::nullopt, "closed before");
    ask_statement();
}

std::optional<position_need> local_run::need(instant now) const
{
    const database_route& route = options_.route_;
    if (route.rule_ == read_rule::primary || route.max_staleness_ms_ <= 0)
        return std::nullopt;
    group_->on_mark_wanted(now);
    instant since = now - route.max_staleness_ms_ + staleness_margin_ms;
    auto mark = group_->marks().covering(since);
    if (!mark)
        return std::nullopt;
    position_need out{mark->at_, mark->asked_};
    const auto& own = options_.session_->own_commit_;
    if (route.rule_ != read_rule::read_your_writes || !own)
        return out;
    // A mark that was requested after the commit was acknowledged covers the
    // commit, even if a later term truncated the log.
    if (own->since_ >= mark->asked_ && own->at_ > out.at_)
        out = *own;
    return out;
}

void local_run::choose_way(instant now)
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

void local_run::next_attempt()
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
                   .due_ = due_of(options_.arrived_,
                                  options_.route_.target_latency_ms_)},
        .session_ = &options_.session_->values_};
    ticket_ = group_->request(
        std::move(wanted),
        [self = shared_from_this()](const link_ptr& link)
        {
            self->on_link(link);
        },
        now);
}

void local_run::on_link(const link_ptr& link)
{
    ticket_ = 0;
    instant now = monotonic_now();
    if (phase_ != phase::waiting)
        return group_->give_back(link, true, now);
    // The mark may have become too old during the wait for the connection.
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

void local_run::replay(const link_ptr& link)
{
    const prepared_shape* shape = options_.shape_ ? &*options_.shape_ : nullptr;
    for (const auto& one :
         replay_for(options_.session_->values_, shape, link->values_))
    {
        link->enqueue(one,
                      [link](const result<reply>& got)
                      {
                          // The values on the connection are now unknown.
                          if (got && got->error_)
                              link->close({error_code::lost, "replay refused"});
                      });
    }
}

statement local_run::begin_statement() const
{
    // A former primary also accepts a read-only begin. Only an endpoint that is
    // primary accepts a plain one.
    bool plain = way_ != way::positioned_read;
    statement out{.kind_ = plain ? statement_kind::begin
                                 : statement_kind::begin_read_only};
    if (need_)
        out.after_ = need_->at_;
    return out;
}

void local_run::ask_begin()
{
    phase_ = phase::beginning;
    link_->enqueue(
        begin_statement(),
        [self = shared_from_this(), link = link_](const result<reply>& got)
        {
            self->on_begin(link, got);
        });
    link_->flush();
}

void local_run::on_begin(const link_ptr& link, const result<reply>& got)
{
    if (phase_ != phase::beginning || link != link_)
        return;
    if (!got)
        return settle(attempt_failure::lost, std::nullopt, got.error().detail_);
    if (got->error_)
        return settle(failure_of(*got->error_), *got, got->text_);
    begun_ = true;
    if (way_ != way::positioned_read && got->position_)
        group_->marks().add(asked_, *got->position_);
    asked_ = monotonic_now();
    ask_statement();
}

void local_run::ask_statement()
{
    phase_ = phase::running;
    if (options_.transaction_)
    {
        asked_ = monotonic_now();
        replay(link_);
    }
    statement what = options_.what_;
    if (options_.shape_)
        what.name_ = link_->values_.prepared_[*options_.shape_];
    if (need_ && !begun_)
        what.after_ = need_->at_;
    link_->enqueue(
        what,
        [self = shared_from_this(), link = link_](const result<reply>& got)
        {
            self->on_statement(link, got);
        });
    if (step() == attempt_step::lone_write || step() == attempt_step::commit)
        group_->on_write_asked(link_, asked_);
    link_->flush();
}

void local_run::on_statement(const link_ptr& link, const result<reply>& got)
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
        return settle(attempt_failure::lost, std::nullopt, got.error().detail_);
    if (got->error_)
        return settle(failure_of(*got->error_), *got, got->text_);
    group_->on_answered(link_, asked_, monotonic_now());
    succeed(*got);
}

void local_run::accept_late(const link_ptr&, const reply& got)
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

attempt_step local_run::step() const
{
    // A transaction whose connection ended before the statement was sent has
    // been rolled back by the endpoint, whichever statement this is.
    if (phase_ == phase::waiting)
        return options_.transaction_ ? attempt_step::later_inside
                                     : attempt_step::connect;
    if (phase_ == phase::beginning)
        return attempt_step::begin;
    return step_in_flight(options_);
}

void local_run::succeed(reply got)
{
    instant now = monotonic_now();
    attempt_step at = step();
    bool kept = at == attempt_step::lone_write || at == attempt_step::commit;
    if (kept && got.position_)
        group_->marks().add(asked_, *got.position_);
    run_outcome outcome{.answer_ = std::move(got)};
    bool ends = options_.what_.kind_ == statement_kind::commit;
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

void local_run::tell_group(attempt_failure how, const std::optional<reply>& got,
                           instant now)
{
    if (!link_)
        return;
    if (how == attempt_failure::lost || how == attempt_failure::expired)
        group_->on_failed(link_, now);
    if (!got || !got->error_)
        return;
    if (*got->error_ == reply_error::read_only)
        group_->on_not_primary(link_, now);
    if (*got->error_ == reply_error::busy)
        group_->on_busy(link_);
    if (*got->error_ == reply_error::lagging && need_)
        group_->on_lagging(link_, now - need_->since_);
    if (*got->error_ == reply_error::no_statement)
        link_->values_.prepared_.clear();
}

void local_run::settle(attempt_failure how, const std::optional<reply>& got,
                       std::string_view detail)
{
    instant now = monotonic_now();
    bool may_retry = attempts_ < max_attempts && now < options_.deadline();
    attempt_step at = step();
    attempt_ruling ruling = judge(at, how, may_retry);
    bool positioned = way_ == way::positioned_read;
    std::string reason =
        got && got->error_ ? std::string(name_of(*got->error_)) : "";
    log_line(log_level::info, "attempt_failed",
             {{"request", options_.what_.id_},
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
              {"retry", ruling.verdict_ == attempt_verdict::retry}});
    tell_group(how, got, now);
    bool lagging = got && got->error_ == reply_error::lagging;
    if (link_ && way_ == way::positioned_read)
        excluded_.push_back(link_->endpoint().id_);
    // After two endpoints lacked the position, the read goes to the primary,
    // which has it for certain.
    lagged_ = lagged_ || (lagging && excluded_.size() >= 2);
    if (ruling.verdict_ == attempt_verdict::deliver)
        return deliver_error(*got);
    release(ruling, now);
    if (ruling.verdict_ == attempt_verdict::retry)
        return retry(now);
    refuse(ruling.error_, reason.empty() ? detail : reason);
}

void local_run::retry(instant now)
{
    if (way_ == way::positioned_read)
        return next_attempt();
    phase_ = phase::waiting;
    retry_at_ = now + primary_retry_ms;
}

void local_run::release(const attempt_ruling& ruling, instant now)
{
    if (ticket_ != 0)
        group_->withdraw(std::exchange(ticket_, 0));
    if (!link_)
        return;
    bool open_transaction = begun_ || options_.transaction_;
    if (ruling.close_)
    {
        // The link fails the pending replies of this run when it closes; they
        // must not be handled as another failure.
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

void local_run::deliver_error(const reply& got)
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

void local_run::refuse(reply_error error, std::string_view why)
{
    finish(refusal(options_, error, why));
}

void local_run::tick(instant now)
{
    if (phase_ == phase::finished)
        return;
    if (now >= options_.deadline())
        return settle(attempt_failure::expired, std::nullopt, "timeout");
    bool waits = phase_ == phase::waiting && ticket_ != 0;
    if (waits &&
        is_hopeless(options_.arrived_, options_.route_.timeout_ms_,
                    group_->last_served(way_ != way::positioned_read), now))
        return settle(attempt_failure::expired, std::nullopt, "overload");
    if (phase_ == phase::waiting && retry_at_ != never && now >= retry_at_)
        return next_attempt();
    bool silent = phase_ == phase::running && !options_.in_transaction() &&
                  way_ == way::positioned_read && !asked_elsewhere_ &&
                  now - asked_ >= repeat_after_ms(options_.route_);
    if (!silent || !group_->repeats().try_spend())
        return;
    asked_elsewhere_ = true;
    log_line(log_level::info, "read_repeated",
             {{"request", options_.what_.id_},
              {"endpoint", link_->endpoint().id_},
              {"unanswered_ms", now - asked_}});
    group_->on_failed(link_, now);
    excluded_.push_back(link_->endpoint().id_);
    group_->abandon(link_, options_.deadline());
    link_.reset();
    next_attempt();
}

void local_run::abandon()
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

void local_run::finish(run_outcome outcome)
{
    phase_ = phase::finished;
    if (auto done = std::exchange(done_, nullptr))
        done(std::move(outcome));
}

} // namespace tanagerspan
