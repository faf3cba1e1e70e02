// What a run does after a failed attempt: another attempt, the endpoint's
// error, or a refusal.

#include <utility>

#include "node/local_run.h"
#include "transport/json_log.h"
#include "transport/monotonic_clock.h"

namespace tanagerspan
{
namespace
{

// Pause before the next attempt after the primary refused a statement. Once a
// promotion has taken effect, proxies know the new primary within this time.
constexpr std::int64_t primary_retry_ms = 50;

// The limit of attempts per statement, whatever the failures. The timeout
// usually applies first.
constexpr std::int64_t max_attempts = 20;

} // namespace

void local_run::report_to_group(attempt_failure cause,
                                const std::optional<reply>& got, instant now)
{
    if (!link_)
        return;
    if (cause == attempt_failure::connection_lost ||
        cause == attempt_failure::timed_out)
        group_->on_failed(link_, now);
    if (!got || !got->error_)
        return;
    if (*got->error_ == reply_error::read_only)
        group_->on_not_primary(link_, now);
    if (*got->error_ == reply_error::busy)
        group_->on_busy(link_);
    if (*got->error_ == reply_error::lagging && position_)
        group_->on_lagging(link_, now - position_->known_since_);
    if (*got->error_ == reply_error::no_statement)
        link_->values_.prepared_.clear();
}

void local_run::on_failure(attempt_failure cause,
                           const std::optional<reply>& got,
                           std::string_view detail)
{
    instant now = monotonic_now();
    bool may_retry = attempts_ < max_attempts && now < options_.deadline();
    attempt_step current_step = step();
    attempt_decision decision =
        decide_after_failure(current_step, cause, may_retry);
    bool any_endpoint = mode_ == mode::positioned_read;
    std::string reason =
        got && got->error_ ? std::string(name_of(*got->error_)) : "";
    log_line(
        log_level::info, "attempt_failed",
        {{"request", options_.statement_.id_},
         {"service", options_.route_.service_},
         {"route", options_.route_.name_},
         {"endpoint", link_ ? link_->endpoint().id_ : ""},
         {"step", std::string(name_of(current_step))},
         {"any_endpoint", any_endpoint},
         {"failure", std::string(name_of(cause))},
         {"error", reason},
         {"detail", std::string(detail)},
         {"asked_ms_ago", sent_at_ == never ? -1 : now - sent_at_},
         {"age_ms", now - options_.arrived_},
         {"attempt", attempts_},
         {"primary", group_->primary_id(now)},
         {"waiting", group_->waiting()},
         {"last_granted_ms_ago", now - group_->last_granted(!any_endpoint)},
         {"retry", decision.action_ == attempt_action::retry}});
    report_to_group(cause, got, now);
    bool lagging = got && got->error_ == reply_error::lagging;
    if (link_ && mode_ == mode::positioned_read)
        excluded_.push_back(link_->endpoint().id_);
    // After two endpoints lacked the position, the read goes to the primary,
    // which has it for certain.
    use_primary_ = use_primary_ || (lagging && excluded_.size() >= 2);
    if (decision.action_ == attempt_action::forward_endpoint_error)
        return deliver_error(*got);
    release_link(decision, now);
    if (decision.action_ == attempt_action::retry)
        return retry(now);
    refuse(decision.error_, reason.empty() ? detail : reason);
}

void local_run::retry(instant now)
{
    if (mode_ == mode::positioned_read)
        return next_attempt();
    phase_ = phase::waiting;
    retry_at_ = now + primary_retry_ms;
}

void local_run::release_link(const attempt_decision& decision, instant now)
{
    if (request_id_ != 0)
        group_->cancel_request(std::exchange(request_id_, 0));
    if (!link_)
        return;
    bool open_transaction = begun_ || options_.transaction_;
    if (decision.close_connection_)
    {
        // The link fails the pending replies of this run when it closes; they
        // must not be handled as another failure.
        phase_ = phase::finished;
        auto link = std::exchange(link_, nullptr);
        group_->release(link, false, now);
        return;
    }
    auto link = std::exchange(link_, nullptr);
    if (open_transaction)
        group_->roll_back(link, now);
    else
        group_->release(link, true, now);
}

void local_run::deliver_error(const reply& got)
{
    run_outcome outcome{.answer_ = got};
    bool ended =
        !options_.in_transaction() || got.state_ == transaction_state::idle;
    if (ended)
    {
        outcome.rolled_back_ = options_.in_transaction();
        outcome.answer_.state_ = transaction_state::idle;
        if (begun_ && !options_.in_transaction())
            group_->roll_back(link_, monotonic_now());
        else
            group_->release(link_, got.state_ == transaction_state::idle,
                            monotonic_now());
    }
    else
    {
        outcome.transaction_ = updated_transaction(options_, {.link_ = link_});
    }
    link_.reset();
    finish(std::move(outcome));
}

void local_run::refuse(reply_error error, std::string_view why)
{
    finish(refused_outcome(options_, error, why));
}

} // namespace tanagerspan
