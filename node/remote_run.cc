#include "node/remote_run.h"

#include <algorithm>
#include <utility>

#include "node/local_run.h"
#include "transport/json_log.h"
#include "transport/monotonic_clock.h"

namespace tanagerspan
{

remote_run::remote_run(std::shared_ptr<service_gateway> gateway,
                       run_options run, done_handler done)
    : gateway_(std::move(gateway)), options_(std::move(run)),
      done_(std::move(done))
{
}

void remote_run::start()
{
    if (!options_.transaction_)
        return try_next_home();
    auto home = options_.transaction_->home_;
    if (!home->is_open())
        return on_failure(attempt_failure::connection_lost,
                          "the link to the home is closed");
    send(home);
}

void remote_run::try_next_home()
{
    instant now = monotonic_now();
    phase_ = phase::waiting;
    if (waiting_since_ == never)
        waiting_since_ = now;
    // A home uses other homes only if it cannot reach the primary. Here the
    // other homes cannot reach it either.
    if (gateway_->is_home() && declined_ >= max_declined)
        return run_locally();
    if (auto link = gateway_->pick_home(options_.account_, excluded_, now))
        return send(std::move(link));
    // All homes were tried or are unreachable. The next tick tries all of them
    // again, because their state may change meanwhile.
    excluded_.clear();
    std::int64_t max_wait_ms =
        std::min(home_wait_ms, options_.route_.timeout_ms_ / home_wait_divisor);
    if (now - waiting_since_ >= max_wait_ms)
        run_locally();
}

void remote_run::run_locally()
{
    phase_ = phase::local;
    log_line(log_level::info, "no_home_reached",
             {{"request", options_.statement_.id_},
              {"service", options_.route_.service_},
              {"waited_ms", monotonic_now() - waiting_since_}});
    local_ = std::make_shared<local_run>(gateway_->group(), options_,
                                         std::exchange(done_, nullptr));
    local_->start();
}

void remote_run::send(std::shared_ptr<home_link> to)
{
    if (options_.is_expired(monotonic_now()))
    {
        if (options_.transaction_)
            to->roll_back(options_.transaction_->number_);
        return finish(
            refused_outcome(options_, reply_error::busy, settings_too_old));
    }
    phase_ = phase::sent;
    home_ = std::move(to);
    remote_statement request{.statement_ = options_.statement_,
                             .shape_ = options_.shape_,
                             .writes_ = options_.writes_,
                             .begin_ = options_.begin_,
                             .route_ = options_.route_,
                             .account_ = options_.account_,
                             .arrived_ = options_.arrived_,
                             .values_ = options_.session_->values_.values_,
                             .own_commit_ = options_.session_->own_commit_};
    if (options_.transaction_)
        request.transaction_ = options_.transaction_->number_;
    request.must_accept_ = declined_ >= max_declined;
    request.valid_until_ = options_.valid_until_;
    std::weak_ptr<remote_run> weak = weak_from_this();
    run_id_ = home_->run(request,
                         [weak, home = home_](const result<remote_outcome>& got)
                         {
                             if (auto self = weak.lock())
                                 self->on_outcome(home, got);
                         });
}

void remote_run::on_outcome(const std::shared_ptr<home_link>& from,
                            const result<remote_outcome>& got)
{
    if (phase_ != phase::sent || from != home_)
        return;
    if (!got)
        return on_failure(attempt_failure::connection_lost,
                          got.error().detail_);
    if (got->not_served_ && options_.transaction_)
        return on_failure(attempt_failure::refused,
                          "the home no longer has the transaction");
    if (got->not_served_)
    {
        ++declined_;
        return try_other_home("declined");
    }
    run_outcome outcome{.answer_ = got->answer_,
                        .rolled_back_ = got->rolled_back_};
    if (got->transaction_open_)
        outcome.transaction_ =
            updated_transaction(options_, {.home_ = home_, .number_ = run_id_});
    finish(std::move(outcome));
}

attempt_step remote_run::step() const
{
    // A transaction whose link ended before the statement was sent is rolled
    // back by its home, whichever statement this is.
    if (phase_ == phase::waiting)
        return options_.transaction_ ? attempt_step::later_in_transaction
                                     : attempt_step::connect;
    return step_in_flight(options_);
}

bool remote_run::may_resend(attempt_failure cause) const
{
    return decide_after_failure(step(), cause, true).action_ ==
           attempt_action::retry;
}

void remote_run::on_failure(attempt_failure cause, std::string_view detail)
{
    instant now = monotonic_now();
    bool in_time = now < options_.deadline();
    attempt_decision decision = decide_after_failure(step(), cause, in_time);
    bool again = decision.action_ == attempt_action::retry;
    log_line(log_level::info, "home_attempt_failed",
             {{"request", options_.statement_.id_},
              {"service", options_.route_.service_},
              {"route", options_.route_.name_},
              {"home", home_ ? home_->home().name_ : ""},
              {"step", std::string(name_of(step()))},
              {"failure", std::string(name_of(cause))},
              {"detail", std::string(detail)},
              {"age_ms", now - options_.arrived_},
              {"retry", again}});
    if (again)
        return try_other_home(detail);
    finish(refused_outcome(options_, decision.error_, detail));
}

void remote_run::try_other_home(std::string_view why)
{
    excluded_.push_back(home_->home().name_);
    log_line(log_level::info, "home_changed",
             {{"request", options_.statement_.id_},
              {"home", home_->home().name_},
              {"reason", std::string(why)}});
    home_.reset();
    try_next_home();
}

void remote_run::tick(instant now)
{
    if (local_)
        return local_->tick(now);
    if (phase_ == phase::finished)
        return;
    if (phase_ == phase::waiting)
    {
        if (now >= options_.deadline())
            return on_failure(attempt_failure::timed_out, "timeout");
        return try_next_home();
    }
    bool timed_out = now >= options_.deadline() + answer_margin_ms;
    bool resend = home_->is_silent() && now < options_.deadline() &&
                  may_resend(attempt_failure::connection_lost);
    if (!timed_out && !resend)
        return;
    abandon_at_home();
    if (timed_out)
        return on_failure(attempt_failure::timed_out,
                          "no answer from the home");
    try_other_home("silent");
}

void remote_run::abandon()
{
    if (local_)
        return local_->abandon();
    if (phase_ == phase::sent)
        abandon_at_home();
    phase_ = phase::finished;
    done_ = nullptr;
}

void remote_run::abandon_at_home()
{
    home_->abandon(run_id_);
    // If the home has already sent the outcome, it has no run to abandon and
    // still keeps the transaction.
    if (options_.transaction_)
        home_->roll_back(options_.transaction_->number_);
}

void remote_run::finish(run_outcome outcome)
{
    phase_ = phase::finished;
    if (auto done = std::exchange(done_, nullptr))
        done(std::move(outcome));
}

} // namespace tanagerspan
