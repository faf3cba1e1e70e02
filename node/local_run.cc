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

// A read that is unanswered for this fraction of its target latency is repeated
// at another endpoint, but not sooner than an endpoint's usual queue takes.
constexpr double repeat_after_fraction = 0.6;
constexpr std::int64_t min_repeat_after_ms = 150;

bool commits(attempt_step step)
{
    return step == attempt_step::autocommit_write ||
           step == attempt_step::commit;
}

std::int64_t repeat_after_ms(const database_route& route)
{
    auto delay_ms = static_cast<std::int64_t>(
        static_cast<double>(route.target_latency_ms_) * repeat_after_fraction);
    return std::max(delay_ms, min_repeat_after_ms);
}

} // namespace

local_run::local_run(std::shared_ptr<endpoint_group> group, run_options opts,
                     done_handler done)
    : group_(std::move(group)), options_(std::move(opts)),
      done_(std::move(done))
{
}

load_counts& local_run::load() const
{
    return group_->load().of(options_.route_.consistency_);
}

void local_run::start()
{
    if (!options_.transaction_)
    {
        group_->repeat_budget().on_first_attempt();
        return next_attempt();
    }
    mode_ = mode::in_transaction;
    link_ = options_.transaction_->link_;
    if (options_.is_expired(monotonic_now()))
        return refuse_expired();
    if (!link_->is_open())
        return on_failure(attempt_failure::connection_lost, std::nullopt,
                          "the connection is closed");
    send_statement();
}

std::optional<position_requirement>
local_run::required_position(instant now) const
{
    const database_route& route = options_.route_;
    if (route.consistency_ == read_consistency::primary ||
        route.max_staleness_ms_ <= 0)
        return std::nullopt;
    group_->on_mark_needed(now);
    instant since = now - route.max_staleness_ms_ + staleness_margin_ms;
    auto mark = group_->marks().covering(since);
    if (!mark)
        return std::nullopt;
    position_requirement out{mark->position_, mark->asked_};
    const auto& own = options_.session_->own_commit_;
    if (route.consistency_ != read_consistency::read_your_writes || !own)
        return out;
    // A mark that was requested after the commit was acknowledged covers the
    // commit, even if a later term truncated the log.
    if (own->known_since_ >= mark->asked_ && own->position_ > out.position_)
        out = *own;
    return out;
}

void local_run::choose_mode(instant now)
{
    position_.reset();
    bool read_only =
        !options_.writes_ && options_.begin_ != statement_kind::begin;
    if (read_only && !use_primary_)
        position_ = required_position(now);
    if (position_)
        mode_ = mode::positioned_read;
    else if (options_.begin_)
        mode_ = mode::in_transaction;
    else
        mode_ = options_.writes_ ? mode::write : mode::primary_read;
}

void local_run::next_attempt()
{
    instant now = monotonic_now();
    phase_ = phase::waiting;
    retry_at_ = never;
    begun_ = false;
    waiting_since_ = now;
    choose_mode(now);
    link_request request{
        .primary_ = mode_ != mode::positioned_read,
        .position_ = position_,
        .excluded_ = excluded_,
        .order_ = {.priority_ = options_.route_.priority_,
                   .latest_start_ = latest_start(
                       options_.arrived_, options_.route_.target_latency_ms_)},
        .deadline_ = options_.deadline(),
        .route_ = options_.route_.name_,
        .account_ = options_.account_,
        .refused_ =
            [self = shared_from_this()](const refused_statement& why)
        {
            self->on_unservable(why);
        },
        .may_write_ =
            mode_ == mode::write || options_.begin_ == statement_kind::begin,
        .session_ = &options_.session_->values_};
    request_id_ = group_->request_link(
        std::move(request),
        [self = shared_from_this()](const link_ptr& link)
        {
            self->on_granted(link);
        },
        now);
}

void local_run::on_granted(const link_ptr& link)
{
    request_id_ = 0;
    instant now = monotonic_now();
    if (phase_ != phase::waiting)
        return group_->release(link, true, now);
    if (options_.is_expired(now))
    {
        link_ = link;
        return refuse_expired();
    }
    // The mark may have become too old during the wait for the connection.
    if (mode_ == mode::positioned_read && !(position_ = required_position(now)))
    {
        group_->release(link, true, now);
        return next_attempt();
    }
    link_ = link;
    ++attempts_;
    sent_at_ = now;
    ++load().granted_;
    load().waited_ms_ += now - waiting_since_;
    replay(link);
    if (options_.begin_ || mode_ == mode::primary_read)
        send_begin();
    else
        send_statement();
}

void local_run::refuse_expired()
{
    instant now = monotonic_now();
    ++load().refused_["settings_too_old"];
    auto link = std::exchange(link_, nullptr);
    if (options_.transaction_)
        group_->roll_back(link, now);
    else
        group_->release(link, true, now);
    refuse(reply_error::busy, settings_too_old);
}

void local_run::on_unservable(const refused_statement& why)
{
    request_id_ = 0;
    if (phase_ != phase::waiting)
        return;
    bool too_late = why.longest_wait_ms_ < 0;
    ++load().refused_[too_late ? "no_gap" : "expected_wait"];
    on_failure(attempt_failure::timed_out, std::nullopt,
               "overloaded: expected wait " +
                   std::to_string(why.expected_wait_ms_) + " ms, limit " +
                   std::to_string(why.longest_wait_ms_) + " ms");
}

void local_run::replay(const link_ptr& link)
{
    const prepared_statement* shape =
        options_.shape_ ? &*options_.shape_ : nullptr;
    for (const auto& one :
         replay_statements(options_.session_->values_, shape, link->values_))
    {
        link->enqueue(one,
                      [link](const result<reply>& got)
                      {
                          // The values on the connection are now unknown.
                          if (got && got->error_)
                              link->close(
                                  {error_code::lost,
                                   "the endpoint refused a session value"});
                      });
    }
}

statement local_run::begin_statement() const
{
    // A former primary also accepts a read-only begin. Only an endpoint that is
    // primary accepts a plain one.
    bool plain = mode_ != mode::positioned_read;
    statement out{.kind_ = plain ? statement_kind::begin
                                 : statement_kind::begin_read_only};
    if (position_)
        out.min_position_ = position_->position_;
    return out;
}

void local_run::send_begin()
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
        return on_failure(attempt_failure::connection_lost, std::nullopt,
                          got.error().detail_);
    if (got->error_)
        return on_failure(failure_of(*got->error_), *got, got->text_);
    begun_ = true;
    if (mode_ != mode::positioned_read && got->position_)
        group_->marks().add(sent_at_, *got->position_);
    sent_at_ = monotonic_now();
    send_statement();
}

void local_run::send_statement()
{
    phase_ = phase::running;
    if (options_.transaction_)
    {
        sent_at_ = monotonic_now();
        replay(link_);
    }
    statement stmt = options_.statement_;
    if (options_.shape_)
        stmt.name_ = link_->values_.prepared_[*options_.shape_];
    if (position_ && !begun_)
        stmt.min_position_ = position_->position_;
    link_->enqueue(
        stmt,
        [self = shared_from_this(), link = link_](const result<reply>& got)
        {
            self->on_statement(link, got);
        });
    if (commits(step()))
        group_->on_write_sent(link_, sent_at_);
    link_->flush();
}

void local_run::on_statement(const link_ptr& link, const result<reply>& got)
{
    if (link != link_)
    {
        if (got && phase_ != phase::finished)
            accept_late_reply(link, *got);
        return;
    }
    if (phase_ != phase::running)
        return;
    if (!got)
        return on_failure(attempt_failure::connection_lost, std::nullopt,
                          got.error().detail_);
    if (got->error_)
        return on_failure(failure_of(*got->error_), *got, got->text_);
    instant now = monotonic_now();
    if (commits(step()) && !group_->is_confirmed(*link_))
        return await_rows(link, *got);
    if (commits(step()) && group_->may_discard_changes(*link_, now))
        return on_failure(attempt_failure::connection_lost, std::nullopt,
                          "the endpoint is being replaced");
    group_->on_answered(link_, options_.route_.name_, !options_.transaction_,
                        sent_at_, now);
    succeed(*got);
}

void local_run::await_rows(const link_ptr& link, const reply& got)
{
    phase_ = phase::confirming;
    group_->await_rows(
        [weak = weak_from_this(), link, got]
        {
            auto self = weak.lock();
            if (!self || self->phase_ != phase::confirming)
                return;
            self->phase_ = phase::running;
            self->on_statement(link, got);
        });
}

void local_run::accept_late_reply(const link_ptr&, const reply& got)
{
    if (got.error_)
        return;
    if (request_id_ != 0)
        group_->cancel_request(request_id_);
    if (link_)
        group_->abandon(link_, options_.deadline());
    link_.reset();
    finish({.answer_ = got});
}

attempt_step local_run::step() const
{
    // If the transaction's connection ends before the statement is sent, the
    // endpoint rolls the transaction back. This holds for a commit as well.
    if (phase_ == phase::waiting)
        return options_.transaction_ ? attempt_step::later_in_transaction
                                     : attempt_step::connect;
    if (phase_ == phase::beginning)
        return attempt_step::begin;
    return step_in_flight(options_);
}

void local_run::succeed(reply got)
{
    instant now = monotonic_now();
    attempt_step current_step = step();
    if (commits(current_step) && got.position_)
        group_->marks().add(sent_at_, *got.position_);
    count_read(now);
    run_outcome outcome{.answer_ = std::move(got)};
    bool is_commit = options_.statement_.kind_ == statement_kind::commit;
    if (options_.in_transaction() && !is_commit)
    {
        outcome.transaction_ = updated_transaction(options_, {.link_ = link_});
        link_.reset();
        return finish(std::move(outcome));
    }
    bool idle = outcome.answer_.state_ == transaction_state::idle;
    outcome.answer_.state_ = transaction_state::idle;
    if (begun_ && !options_.in_transaction())
        group_->roll_back(link_, now);
    else
        group_->release(link_, idle, now);
    link_.reset();
    finish(std::move(outcome));
}

void local_run::count_read(instant now)
{
    if (options_.writes_ || options_.in_transaction())
        return;
    bool at_primary = mode_ != mode::positioned_read ||
                      link_->endpoint().id_ == group_->primary_id(now);
    ++(at_primary ? load().primary_reads_ : load().replica_reads_);
}

void local_run::tick(instant now)
{
    if (phase_ == phase::finished)
        return;
    if (now >= options_.deadline() && request_id_ != 0)
        ++load().refused_["timeout"];
    if (now >= options_.deadline())
        return on_failure(attempt_failure::timed_out, std::nullopt, "timeout");
    if (phase_ == phase::waiting && retry_at_ != never && now >= retry_at_)
        return next_attempt();
    bool unanswered = phase_ == phase::running && !options_.in_transaction() &&
                      mode_ == mode::positioned_read && !repeated_ &&
                      now - sent_at_ >= repeat_after_ms(options_.route_);
    if (!unanswered || !group_->repeat_budget().try_spend())
        return;
    repeated_ = true;
    log_line(log_level::info, "read_repeated",
             {{"request", options_.statement_.id_},
              {"endpoint", link_->endpoint().id_},
              {"unanswered_ms", now - sent_at_}});
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
    if (request_id_ != 0)
        group_->cancel_request(std::exchange(request_id_, 0));
    bool outside_transaction =
        !options_.in_transaction() && !begun_ && phase_ == phase::running;
    phase_ = phase::finished;
    done_ = nullptr;
    if (!link_)
        return;
    auto link = std::exchange(link_, nullptr);
    if (outside_transaction)
        group_->abandon(link, options_.deadline());
    else
        group_->release(link, false, now);
}

void local_run::finish(run_outcome outcome)
{
    phase_ = phase::finished;
    if (auto done = std::exchange(done_, nullptr))
        done(std::move(outcome));
}

} // namespace tanagerspan
