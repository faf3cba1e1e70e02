#include "node/caller_session.h"

#include <utility>

#include <boost/asio/post.hpp>

#include "transport/json_log.h"
#include "transport/monotonic_clock.h"

namespace tanagerspan
{
namespace
{

constexpr std::string_view no_digest = "-";
constexpr std::int64_t us_per_ms = 1000;

// How long a request to open a session waits for the routes. After a start of
// the proxy the routes arrive in a fraction of this time; callers time out
// after two seconds.
constexpr std::int64_t max_open_wait_ms = 1500;

// After paused input is read again, what the caller sent ahead arrives within
// this time: many round trips.
constexpr std::int64_t resumed_input_arrives_ms = 200;

bool needs_endpoint(statement_kind kind)
{
    return kind == statement_kind::read || kind == statement_kind::write ||
           kind == statement_kind::execute || kind == statement_kind::commit;
}

bool begins_transaction(statement_kind kind)
{
    return kind == statement_kind::begin ||
           kind == statement_kind::begin_read_only;
}

bool ends_transaction(statement_kind kind)
{
    return kind == statement_kind::commit || kind == statement_kind::rollback;
}

} // namespace

caller_session::caller_session(tcp_socket socket,
                               const session_environment& environment)
    : environment_(environment),
      stream_(std::make_shared<byte_stream>(std::move(socket)))
{
}

void caller_session::start()
{
    ++environment_.counters_->sessions_;
    last_active_ = monotonic_now();
    std::weak_ptr<caller_session> weak = weak_from_this();
    stream_->start({.on_input_ =
                        [weak]
                    {
                        if (auto self = weak.lock())
                            self->process_messages();
                    },
                    .on_end_ =
                        [weak](const failure& why)
                    {
                        if (auto self = weak.lock())
                            self->close(why.detail_);
                    }});
}

void caller_session::process_messages()
{
    if (turn_is_posted_)
        return limit_input();
    if (std::exchange(processing_, true))
        return;
    auto self = shared_from_this();
    int processed = 0;
    while (!closed_ && !awaits_completion() && !stream_->input().empty())
    {
        if (processed == max_messages_per_turn)
        {
            process_later();
            break;
        }
        ++processed;
        auto got =
            environment_.codec_->extract_caller_message(stream_->input());
        if (!got)
        {
            log_line(log_level::info, "bad_caller_message",
                     {{"detail", got.error().detail_}});
            close(got.error().detail_);
            break;
        }
        if (!*got)
            break;
        last_active_ = monotonic_now();
        if (const auto* request = std::get_if<open_session>(&**got))
            on_open(*request);
        else if (const auto* stmt = std::get_if<statement>(&**got))
            on_statement(*stmt);
        else
            close("terminated by the caller");
    }
    processing_ = false;
    limit_input();
    if (draining_ && !closed_ && is_idle())
        drain();
}

void caller_session::process_later()
{
    turn_is_posted_ = true;
    boost::asio::post(stream_->executor(),
                      [weak = weak_from_this()]
                      {
                          auto self = weak.lock();
                          if (!self)
                              return;
                          self->turn_is_posted_ = false;
                          self->process_messages();
                      });
}

void caller_session::limit_input()
{
    // While no message waits, the next one may be longer than the limit.
    bool messages_wait = awaits_completion() || turn_is_posted_;
    bool pause =
        messages_wait && stream_->input().size() >= max_waiting_input_bytes;
    if (pause)
        input_paused_at_ = monotonic_now();
    stream_->pause_input(pause);
}

void caller_session::on_open(const open_session& request)
{
    if (!opened_ && !environment_.is_ready_())
    {
        if (open_requested_at_ == never)
            open_requested_at_ = last_active_;
        if (last_active_ - open_requested_at_ < max_open_wait_ms)
        {
            pending_open_ = request;
            return;
        }
    }
    const database_route* route = environment_.route_of_(request.database_);
    bool identified =
        route != nullptr &&
        environment_.account_of_(*route, request.user_).has_value();
    if (identified && !opened_)
    {
        opened_ = true;
        database_ = request.database_;
        key_ = request.user_;
        return send_reply({});
    }
    reply_error error = opened_                     ? reply_error::malformed
                        : !environment_.is_ready_() ? reply_error::busy
                        : route == nullptr          ? reply_error::no_database
                                                    : reply_error::unauthorised;
    std::string out;
    environment_.codec_->append_open_error(out, error, request.database_);
    stream_->send(out);
    ++environment_.counters_->refused_[std::string(name_of(error))];
    log_line(log_level::info, "session_refused",
             {{"database", request.database_},
              {"error", std::string(name_of(error))}});
    close("refused");
}

void caller_session::retry_open(instant now)
{
    last_active_ = now;
    on_open(*std::exchange(pending_open_, std::nullopt));
    if (!pending_open_)
        process_messages();
}

transaction_state caller_session::state() const
{
    if (transaction_failed_)
        return transaction_state::failed;
    return pending_begin_ || transaction_ ? transaction_state::open
                                          : transaction_state::idle;
}

void caller_session::send_reply(const reply& value)
{
    std::string out;
    environment_.codec_->append_reply(out, value);
    stream_->send(out);
}

void caller_session::send_success()
{
    send_reply({.text_ = std::string(no_digest), .state_ = state()});
}

void caller_session::refuse(reply_error error, std::string_view text)
{
    ++environment_.counters_->refused_[std::string(name_of(error))];
    send_reply(
        {.error_ = error, .text_ = std::string(text), .state_ = state()});
}

void caller_session::on_statement(const statement& stmt)
{
    ++environment_.counters_->statements_;
    if (!opened_)
        return close("statement before the session was opened");
    if (transaction_failed_)
        return answer_after_failure(stmt);
    if (begins_transaction(stmt.kind_))
        return begin(stmt);
    if (answer_locally(stmt))
        return;
    if (stmt.kind_ == statement_kind::rollback && in_transaction())
        return roll_back();
    bool nothing_to_end = ends_transaction(stmt.kind_) && !in_transaction();
    if (!needs_endpoint(stmt.kind_) || nothing_to_end || stmt.min_position_)
        return refuse(reply_error::malformed,
                      "the statement is not allowed in this state");
    run(stmt);
}

void caller_session::answer_after_failure(const statement& stmt)
{
    if (!ends_transaction(stmt.kind_))
        return refuse(reply_error::malformed, "the transaction has failed");
    transaction_failed_ = false;
    if (stmt.kind_ == statement_kind::commit)
        return refuse(reply_error::aborted, "the transaction was rolled back");
    send_success();
}

bool caller_session::answer_locally(const statement& stmt)
{
    bool changes_session = stmt.kind_ == statement_kind::set_value ||
                           stmt.kind_ == statement_kind::prepare ||
                           stmt.kind_ == statement_kind::deallocate;
    if (changes_session && !check_key(stmt))
        return true;
    session_state& values = context_.values_;
    switch (stmt.kind_)
    {
    case statement_kind::set_value:
        values.values_[stmt.name_] = stmt.arguments_;
        break;
    case statement_kind::prepare:
        values.prepared_[stmt.name_] = {stmt.writes_, stmt.arguments_};
        break;
    case statement_kind::deallocate:
        if (values.prepared_.erase(stmt.name_) == 0)
        {
            refuse(reply_error::no_statement, stmt.name_);
            return true;
        }
        break;
    case statement_kind::execute:
        if (values.prepared_.contains(stmt.name_))
            return false;
        refuse(reply_error::no_statement, stmt.name_);
        return true;
    default:
        return false;
    }
    send_success();
    return true;
}

void caller_session::begin(const statement& stmt)
{
    if (in_transaction())
        return refuse(reply_error::malformed, "already in a transaction");
    if (!begin_operation())
        return;
    pending_begin_ = stmt.kind_;
    send_success();
}

bool caller_session::begin_operation()
{
    const database_route* route = environment_.route_of_(database_);
    if (route == nullptr)
    {
        refuse(reply_error::no_database, database_);
        return false;
    }
    auto account = environment_.account_of_(*route, key_);
    if (!account)
    {
        refuse(reply_error::unauthorised, "the key is not valid");
        return false;
    }
    route_ = *route;
    account_ = std::move(*account);
    return true;
}

bool caller_session::check_key(const statement& stmt)
{
    if (in_transaction())
        return check_transaction_account(stmt);
    const database_route* route = environment_.route_of_(database_);
    if (route == nullptr || environment_.account_of_(*route, key_))
        return true;
    refuse(reply_error::unauthorised, "the key is not valid");
    return false;
}

bool caller_session::check_transaction_account(const statement& stmt)
{
    // The route may need a key since the transaction began.
    const database_route* route = environment_.route_of_(database_);
    if (environment_.account_of_(route ? *route : route_, key_) == account_)
        return true;
    log_line(log_level::info, "transaction_key_withdrawn",
             {{"request", stmt.id_},
              {"database", database_},
              {"account", account_}});
    refuse_and_roll_back(stmt, reply_error::unauthorised,
                         "the key is not valid");
    return false;
}

bool caller_session::check_settings_age(const statement& stmt)
{
    auto valid_until = environment_.keys_valid_until_();
    instant now = monotonic_now();
    if (account_.empty() || !valid_until || now < *valid_until)
        return true;
    log_line(log_level::info, "settings_too_old",
             {{"request", stmt.id_},
              {"database", database_},
              {"account", account_},
              {"expired_ms_ago", now - *valid_until}});
    refuse_and_roll_back(stmt, reply_error::busy, settings_too_old);
    return false;
}

void caller_session::refuse_and_roll_back(const statement& stmt,
                                          reply_error error,
                                          std::string_view why)
{
    if (in_transaction())
    {
        roll_back_idle_transaction();
        // A commit ends the transaction, whatever its outcome.
        transaction_failed_ = stmt.kind_ != statement_kind::commit;
    }
    refuse(error, why);
}

bool caller_session::take_allowance(const statement& stmt)
{
    bool begins_operation = !transaction_ && !account_.empty();
    if (environment_.allowances_ == nullptr || !begins_operation)
        return true;
    instant now = monotonic_now();
    if (environment_.allowances_->try_spend(account_, now))
        return true;
    // A longer wait would leave too little of the target for the work itself.
    constexpr std::int64_t share_of_target = 4;
    waiting_statement_ = stmt;
    waiting_since_ = now;
    auto weak = weak_from_this();
    environment_.allowances_->wait(account_, now,
                                   route_.target_latency_ms_ / share_of_target,
                                   [weak](bool granted)
                                   {
                                       if (auto self = weak.lock())
                                           self->on_allowance(granted);
                                   });
    return false;
}

void caller_session::on_allowance(bool granted)
{
    auto stmt = std::exchange(waiting_statement_, std::nullopt);
    if (closed_ || !stmt)
        return;
    if (!granted)
    {
        log_line(log_level::info, "allowance_exhausted",
                 {{"request", stmt->id_},
                  {"database", database_},
                  {"account", account_},
                  {"waited_ms", monotonic_now() - waiting_since_}});
        refuse_and_roll_back(*stmt, reply_error::busy,
                             "the allowance is exhausted");
    }
    // New settings may have arrived during the wait.
    else if (check_transaction_account(*stmt) && check_settings_age(*stmt))
        execute(*stmt, waiting_since_);
    if (!processing_)
        process_messages();
}

void caller_session::roll_back()
{
    pending_begin_.reset();
    if (transaction_)
        gateway_->roll_back(*transaction_, monotonic_now());
    transaction_.reset();
    send_success();
}

void caller_session::run(const statement& stmt)
{
    bool admitted =
        in_transaction() ? check_transaction_account(stmt) : begin_operation();
    if (admitted && check_settings_age(stmt) && take_allowance(stmt))
        execute(stmt, monotonic_now());
}

void caller_session::execute(const statement& stmt, instant arrived)
{
    if (!transaction_)
        gateway_ = environment_.gateway_of_(route_.service_);
    if (!gateway_)
        return refuse(reply_error::busy, "no endpoint is known");
    run_options opts{.statement_ = stmt,
                     .writes_ = stmt.writes_,
                     .begin_ = pending_begin_,
                     .transaction_ = transaction_,
                     .route_ = route_,
                     .account_ = account_,
                     .arrived_ = arrived,
                     .session_ = &context_};
    if (!account_.empty())
        opts.valid_until_ = environment_.keys_valid_until_();
    if (stmt.kind_ == statement_kind::execute)
    {
        opts.shape_ = context_.values_.prepared_.at(stmt.name_);
        opts.writes_ = opts.shape_->writes_;
    }
    bool writes = opts.writes_;
    auto weak = weak_from_this();
    run_ = gateway_->make_run(std::move(opts),
                              [weak, stmt, writes, arrived](run_outcome outcome)
                              {
                                  if (auto self = weak.lock())
                                      self->on_outcome(stmt, writes, arrived,
                                                       std::move(outcome));
                              });
    auto running = run_;
    running->start();
}

void caller_session::record_commit(const statement& stmt,
                                   const run_outcome& outcome, bool wrote)
{
    bool commits = stmt.kind_ == statement_kind::commit || !in_transaction();
    const auto& at = outcome.answer_.position_;
    if (wrote && commits && !outcome.answer_.error_ && at)
        context_.own_commit_ = {*at, monotonic_now()};
}

void caller_session::on_outcome(const statement& stmt, bool writes,
                                instant arrived, run_outcome outcome)
{
    bool wrote = transaction_ ? transaction_->wrote_ : writes;
    record_commit(stmt, outcome, wrote);
    run_.reset();
    pending_begin_.reset();
    transaction_ = outcome.transaction_;
    transaction_failed_ =
        outcome.answer_.state_ == transaction_state::failed && !transaction_;
    if (transaction_ && outcome.answer_.state_ == transaction_state::failed)
    {
        // None of its changes can be committed, so the connection is released
        // for other work.
        gateway_->roll_back(*transaction_, monotonic_now());
        transaction_.reset();
        transaction_failed_ = true;
    }
    last_active_ = monotonic_now();
    load_counts& load = gateway_->group()->load().of(route_.consistency_);
    if (outcome.answer_.error_)
    {
        auto error = std::string(name_of(*outcome.answer_.error_));
        ++load.errors_[error];
        ++environment_.counters_->refused_[error];
        log_line(log_level::info, "statement_failed",
                 {{"request", stmt.id_},
                  {"database", database_},
                  {"service", route_.service_},
                  {"account", account_},
                  {"error", error},
                  {"detail", outcome.answer_.text_},
                  {"route", route_.name_},
                  {"took_ms", last_active_ - arrived}});
    }
    else
    {
        ++environment_.counters_->answered_;
        bool in_time = last_active_ - arrived <= route_.target_latency_ms_;
        ++(in_time ? load.in_time_ : load.late_);
    }
    environment_.counters_->latencies_.record(
        route_.service_, std::string(name_of(route_.consistency_)),
        (last_active_ - arrived) * us_per_ms);
    send_reply(outcome.answer_);
    // Processes messages that arrived meanwhile, unless the loop of
    // `process_messages` is on the stack and does so.
    if (!processing_)
        process_messages();
}

bool caller_session::tick(instant now)
{
    if (closed_)
        return false;
    if (pending_open_)
        retry_open(now);
    if (auto running = run_)
        running->tick(now);
    bool idle_too_long =
        !run_ && !waiting_statement_ && (pending_begin_ || transaction_) &&
        now - last_active_ > environment_.transaction_idle_ms_();
    if (idle_too_long)
    {
        log_line(log_level::info, "transaction_idle_timeout",
                 {{"database", database_}, {"idle_ms", now - last_active_}});
        roll_back_idle_transaction();
    }
    return !closed_;
}

void caller_session::roll_back_idle_transaction()
{
    if (run_ || waiting_statement_ || !in_transaction())
        return;
    pending_begin_.reset();
    if (transaction_)
        gateway_->roll_back(*transaction_, monotonic_now());
    transaction_.reset();
    transaction_failed_ = true;
}

void caller_session::drain()
{
    draining_ = true;
    bool more_arrives =
        stream_->has_unprocessed_input() ||
        monotonic_now() - input_paused_at_ < resumed_input_arrives_ms;
    if (!closed_ && is_idle() && !more_arrives)
        close("draining");
}

void caller_session::close(std::string_view)
{
    if (std::exchange(closed_, true))
        return;
    // A running statement owns the transaction's connection and rolls back or
    // closes it.
    if (auto running = std::exchange(run_, nullptr))
        running->abandon();
    else if (transaction_)
        gateway_->roll_back(*transaction_, monotonic_now());
    transaction_.reset();
    // Output that is still queued reaches the caller before the connection
    // closes.
    if (stream_->is_open())
        stream_->shutdown_output();
    waiting_statement_.reset();
    stream_->close();
}

} // namespace tanagerspan
