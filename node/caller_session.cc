#include "node/caller_session.h"

#include <utility>

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
constexpr std::int64_t longest_open_ms = 1500;

std::string_view class_of(const database_route& route)
{
    switch (route.consistency_)
    {
    case read_consistency::primary:
        return "primary";
    case read_consistency::bounded_staleness:
        return "bounded_staleness";
    default:
        return "read_your_writes";
    }
}

bool needs_endpoint(statement_kind kind)
{
    return kind == statement_kind::read || kind == statement_kind::write ||
           kind == statement_kind::execute || kind == statement_kind::commit;
}

bool is_begin(statement_kind kind)
{
    return kind == statement_kind::begin ||
           kind == statement_kind::begin_read_only;
}

bool is_end(statement_kind kind)
{
    return kind == statement_kind::commit || kind == statement_kind::rollback;
}

} // namespace

caller_session::caller_session(tcp_socket socket,
                               const session_surroundings& around)
    : around_(around), stream_(std::make_shared<byte_stream>(std::move(socket)))
{
}

void caller_session::start()
{
    ++around_.counters_->sessions_;
    last_active_ = monotonic_now();
    std::weak_ptr<caller_session> weak = weak_from_this();
    stream_->start({.on_input_ =
                        [weak]
                    {
                        if (auto self = weak.lock())
                            self->take_messages();
                    },
                    .on_end_ =
                        [weak](const failure& why)
                    {
                        if (auto self = weak.lock())
                            self->end(why.detail_);
                    }});
}

void caller_session::take_messages()
{
    if (std::exchange(taking_, true))
        return;
    auto self = shared_from_this();
    while (!over_ && !run_ && !waiting_open_)
    {
        auto got = around_.codec_->extract_caller_message(stream_->input());
        if (!got)
        {
            log_line(log_level::info, "caller_message_unusable",
                     {{"detail", got.error().detail_}});
            end(got.error().detail_);
            break;
        }
        if (!*got)
            break;
        last_active_ = monotonic_now();
        if (const auto* wanted = std::get_if<open_session>(&**got))
            on_open(*wanted);
        else if (const auto* what = std::get_if<statement>(&**got))
            on_statement(*what);
        else
            end("ended by the caller");
    }
    taking_ = false;
    if (draining_ && !over_ && is_idle())
        drain();
}

void caller_session::on_open(const open_session& wanted)
{
    if (!opened_ && !around_.is_ready_())
    {
        if (open_since_ == never)
            open_since_ = last_active_;
        if (last_active_ - open_since_ < longest_open_ms)
        {
            waiting_open_ = wanted;
            return;
        }
    }
    bool known = around_.route_of_(wanted.database_) != nullptr;
    if (known && !opened_)
    {
        opened_ = true;
        database_ = wanted.database_;
        return answer({});
    }
    reply_error error = opened_               ? reply_error::malformed
                        : around_.is_ready_() ? reply_error::no_database
                                              : reply_error::busy;
    std::string out;
    around_.codec_->append_open_error(out, error, wanted.database_);
    stream_->send(out);
    ++around_.counters_->refused_[std::string(name_of(error))];
    log_line(log_level::info, "session_refused",
             {{"database", wanted.database_},
              {"error", std::string(name_of(error))}});
    end("refused");
}

void caller_session::retry_open(instant now)
{
    last_active_ = now;
    on_open(*std::exchange(waiting_open_, std::nullopt));
    if (!waiting_open_)
        take_messages();
}

transaction_state caller_session::state() const
{
    if (failed_)
        return transaction_state::failed;
    return begin_ || open_ ? transaction_state::open : transaction_state::idle;
}

void caller_session::answer(const reply& value)
{
    std::string out;
    around_.codec_->append_reply(out, value);
    stream_->send(out);
}

void caller_session::answer_done()
{
    answer({.text_ = std::string(no_digest), .state_ = state()});
}

void caller_session::refuse(reply_error error, std::string_view text)
{
    ++around_.counters_->refused_[std::string(name_of(error))];
    answer({.error_ = error, .text_ = std::string(text), .state_ = state()});
}

void caller_session::on_statement(const statement& what)
{
    ++around_.counters_->statements_;
    if (!opened_)
        return end("statement before the session was opened");
    if (failed_)
        return end_failed(what);
    if (is_begin(what.kind_))
        return begin(what);
    if (answer_here(what))
        return;
    if (what.kind_ == statement_kind::rollback && in_transaction())
        return roll_back();
    bool ends_nothing = is_end(what.kind_) && !in_transaction();
    if (!needs_endpoint(what.kind_) || ends_nothing || what.min_position_)
        return refuse(reply_error::malformed, "not possible here");
    run(what);
}

void caller_session::end_failed(const statement& what)
{
    if (!is_end(what.kind_))
        return refuse(reply_error::malformed, "the transaction failed");
    failed_ = false;
    if (what.kind_ == statement_kind::commit)
        return refuse(reply_error::aborted, "rolled back");
    answer_done();
}

bool caller_session::answer_here(const statement& what)
{
    session_values& held = context_.values_;
    switch (what.kind_)
    {
    case statement_kind::set_value:
        held.values_[what.name_] = what.arguments_;
        break;
    case statement_kind::prepare:
        held.prepared_[what.name_] = {what.writes_, what.arguments_};
        break;
    case statement_kind::deallocate:
        if (held.prepared_.erase(what.name_) == 0)
        {
            refuse(reply_error::no_statement, what.name_);
            return true;
        }
        break;
    case statement_kind::execute:
        if (held.prepared_.contains(what.name_))
            return false;
        refuse(reply_error::no_statement, what.name_);
        return true;
    default:
        return false;
    }
    answer_done();
    return true;
}

void caller_session::begin(const statement& what)
{
    if (in_transaction())
        return refuse(reply_error::malformed, "already in a transaction");
    const database_route* route = around_.route_of_(database_);
    if (route == nullptr)
        return refuse(reply_error::no_database, database_);
    route_ = *route;
    begin_ = what.kind_;
    answer_done();
}

void caller_session::roll_back()
{
    begin_.reset();
    if (open_)
        gateway_->roll_back(*open_, monotonic_now());
    open_.reset();
    answer_done();
}

void caller_session::run(const statement& what)
{
    if (!in_transaction())
    {
        const database_route* route = around_.route_of_(database_);
        if (route == nullptr)
            return refuse(reply_error::no_database, database_);
        route_ = *route;
    }
    if (!open_)
        gateway_ = around_.gateway_of_(route_.service_);
    if (!gateway_)
        return refuse(reply_error::busy, "no endpoint is known");
    run_options opts{.statement_ = what,
                     .writes_ = what.writes_,
                     .begin_ = begin_,
                     .transaction_ = open_,
                     .route_ = route_,
                     .arrived_ = monotonic_now(),
                     .session_ = &context_};
    if (what.kind_ == statement_kind::execute)
    {
        opts.shape_ = context_.values_.prepared_.at(what.name_);
        opts.writes_ = opts.shape_->writes_;
    }
    instant arrived = opts.arrived_;
    bool writes = opts.writes_;
    auto weak = weak_from_this();
    run_ = gateway_->make_run(std::move(opts),
                              [weak, what, writes, arrived](run_outcome outcome)
                              {
                                  if (auto self = weak.lock())
                                      self->on_outcome(what, writes, arrived,
                                                       std::move(outcome));
                              });
    auto running = run_;
    running->start();
}

void caller_session::note_commit(const statement& what,
                                 const run_outcome& outcome, bool wrote)
{
    bool commits = what.kind_ == statement_kind::commit || !in_transaction();
    const auto& at = outcome.answer_.position_;
    if (wrote && commits && !outcome.answer_.error_ && at)
        context_.own_commit_ = {*at, monotonic_now()};
}

void caller_session::on_outcome(const statement& what, bool writes,
                                instant arrived, run_outcome outcome)
{
    bool wrote = open_ ? open_->wrote_ : writes;
    note_commit(what, outcome, wrote);
    run_.reset();
    begin_.reset();
    open_ = outcome.transaction_;
    failed_ = outcome.answer_.state_ == transaction_state::failed && !open_;
    if (open_ && outcome.answer_.state_ == transaction_state::failed)
    {
        // None of its changes can be committed, so the connection is released
        // for other work.
        gateway_->roll_back(*open_, monotonic_now());
        open_.reset();
        failed_ = true;
    }
    last_active_ = monotonic_now();
    if (outcome.answer_.error_)
    {
        auto error = std::string(name_of(*outcome.answer_.error_));
        ++around_.counters_->refused_[error];
        log_line(log_level::info, "statement_failed",
                 {{"request", what.id_},
                  {"database", database_},
                  {"service", route_.service_},
                  {"error", error},
                  {"detail", outcome.answer_.text_},
                  {"route", route_.name_},
                  {"took_ms", last_active_ - arrived}});
    }
    else
        ++around_.counters_->answered_;
    around_.counters_->latencies_.record(route_.service_,
                                         std::string(class_of(route_)),
                                         (last_active_ - arrived) * us_per_ms);
    answer(outcome.answer_);
    // Processes messages that arrived meanwhile, unless the loop of
    // `take_messages` is on the stack and does so.
    if (!taking_)
        take_messages();
}

bool caller_session::tick(instant now)
{
    if (over_)
        return false;
    if (waiting_open_)
        retry_open(now);
    if (auto running = run_)
        running->tick(now);
    bool rests = !run_ && (begin_ || open_) &&
                 now - last_active_ > around_.transaction_idle_ms_();
    if (rests)
    {
        log_line(log_level::info, "transaction_rested_too_long",
                 {{"database", database_}, {"idle_ms", now - last_active_}});
        end_transaction();
    }
    return !over_;
}

void caller_session::end_transaction()
{
    if (run_ || !in_transaction())
        return;
    begin_.reset();
    if (open_)
        gateway_->roll_back(*open_, monotonic_now());
    open_.reset();
    failed_ = true;
}

void caller_session::drain()
{
    draining_ = true;
    if (!over_ && is_idle() && stream_->input().empty())
        end("draining");
}

void caller_session::end(std::string_view)
{
    if (std::exchange(over_, true))
        return;
    // A running statement owns the transaction's connection and rolls back or
    // closes it.
    if (auto running = std::exchange(run_, nullptr))
        running->abandon();
    else if (open_)
        gateway_->roll_back(*open_, monotonic_now());
    open_.reset();
    // Output that is still queued reaches the caller before the connection
    // closes.
    if (stream_->is_open())
        stream_->shutdown_output();
    stream_->close();
}

} // namespace tanagerspan
