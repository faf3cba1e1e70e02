// The part of `request_handler` that handles transactions.
//
// A transaction uses one connection to one member, in one term, on the proxy
// that its handle names. Another proxy forwards requests with that handle to
// that proxy, once. The connection returns to the pool only after the end of
// the transaction was answered; otherwise it is closed, and the endpoint rolls
// back an uncommitted transaction.

#include <algorithm>

#include "node/request_handler.h"
#include "node/statement_driver.h"
#include "protocol/transaction_messages.h"
#include "transport/endpoint_client.h"

namespace tanagerspan
{
namespace
{

constexpr std::int64_t connect_timeout_ms = 500;
constexpr std::int64_t call_timeout_ms = 5000;
constexpr std::int64_t transaction_idle_timeout_ms = 5000;
constexpr std::int64_t begin_timeout_ms = 2000;
constexpr char handle_separator = '~';

http_answer refuse(const failure& cause)
{
    return to_http(cause, outcome::not_run);
}

std::string proxy_of(const std::string& handle)
{
    return handle.substr(0, handle.find(handle_separator));
}

} // namespace

struct request_handler::transaction
{
    std::mutex mutex_; // one statement of a transaction at a time
    std::string handle_;
    std::string service_;
    std::string team_;
    std::shared_ptr<home_service> home_;
    std::size_t member_ = 0;
    std::uint64_t term_ = 0;
    std::string endpoint_handle_;
    std::unique_ptr<http_connection> connection_;
    instant last_used_at_;

    // Returns the connection to the pool if `clean`; otherwise closes it.
    void end(bool clean)
    {
        if (!connection_)
            return;
        if (!clean)
            connection_->close();
        home_->members_[member_]->pool_.release(std::move(connection_),
                                                monotonic_now());
    }
};

std::size_t request_handler::open_transactions() const
{
    std::lock_guard lock(transactions_mutex_);
    return transactions_.size();
}

http_answer request_handler::transactions(const std::string& path,
                                          const std::string& body,
                                          bool forwarded)
{
    expire_transactions(monotonic_now());
    if (path == "/v1/transactions")
        return begin(path, body, forwarded);
    // /v1/transactions/HANDLE/VERB
    std::string rest = path.substr(std::string("/v1/transactions/").size());
    auto slash = rest.find('/');
    if (slash == std::string::npos)
        return refuse({error_code::not_found, path});
    std::string handle = rest.substr(0, slash);
    std::string verb = rest.substr(slash + 1);
    std::string owner = proxy_of(handle);
    if (owner == settings_.name_)
        return in_transaction(handle, verb, body);
    auto snapshot = control_.snapshot();
    auto peer = snapshot->peer_addresses_.find(owner);
    if (forwarded || peer == snapshot->peer_addresses_.end())
        return refuse({error_code::unknown_transaction, handle});
    ++counters_.forwarded_;
    failure cause;
    auto answer = forward_to(peer->second, path, body, call_timeout_ms, cause);
    if (answer.status_ != 0)
        return answer;
    bool open = verb == "commit" && cause.code_ != error_code::not_sent;
    return to_http(cause, open ? outcome::unknown : outcome::not_run);
}

http_answer request_handler::begin(const std::string& path,
                                   const std::string& body, bool forwarded)
{
    auto request = decode_text<begin_request>(body);
    if (!request)
        return refuse(request.error());
    auto snapshot = control_.snapshot();
    auto found = snapshot->routes_.find(request->service_);
    if (found == snapshot->routes_.end())
        return refuse({error_code::unknown_service, request->service_});
    const auto& route = found->second;
    if (!route.home_)
    {
        if (forwarded)
            return refuse({error_code::not_home, request->service_});
        return forward(route, path, body, true, begin_timeout_ms);
    }
    instant deadline = monotonic_now() + begin_timeout_ms;
    auto view = route.home_->view_.get();
    while (!view->primary() && monotonic_now() < deadline)
        view = route.home_->view_.wait_for_change(view, begin_timeout_ms);
    auto primary = view->primary();
    if (!primary)
        return refuse({error_code::no_primary, "no primary is known"});

    auto open = std::make_shared<transaction>();
    open->service_ = route.service_;
    open->team_ = route.team_;
    open->home_ = route.home_;
    open->member_ = *primary;
    open->term_ = view->members_[*primary].status_.promised_;
    open->last_used_at_ = monotonic_now();
    auto& port = *route.home_->members_[*primary];
    auto connection = port.pool_.acquire(connect_timeout_ms, monotonic_now());
    if (!connection)
        return refuse(connection.error());
    open->connection_ = std::move(*connection);
    auto begun = call_endpoint<endpoint_transaction>(
        *open->connection_, "/v1/begin",
        endpoint_transaction{.term_ = open->term_}, call_timeout_ms,
        route.home_->seat_);
    if (!begun)
    {
        open->end(is_endpoint_refusal(begun.error().code_));
        return refuse(begun.error());
    }
    open->endpoint_handle_ = begun->handle_;
    open->handle_ = settings_.name_ + handle_separator +
                    std::to_string(monotonic_us()) + "-" +
                    std::to_string(next_handle_++);
    std::string handle = open->handle_;
    std::lock_guard lock(transactions_mutex_);
    transactions_[handle] = std::move(open);
    return {200,
            nlohmann::json{{"outcome", "done"}, {"handle", handle}}.dump()};
}

http_answer request_handler::in_transaction(const std::string& handle,
                                            const std::string& verb,
                                            const std::string& body)
{
    std::shared_ptr<transaction> open;
    {
        std::lock_guard lock(transactions_mutex_);
        auto found = transactions_.find(handle);
        if (found != transactions_.end())
            open = found->second;
    }
    if (!open)
        return refuse({error_code::unknown_transaction,
                       "ended, expired, or of an earlier process"});
    std::lock_guard one_at_a_time(open->mutex_);
    if (!open->connection_)
        return refuse({error_code::unknown_transaction, "already ended"});
    open->last_used_at_ = monotonic_now();
    if (verb == "statements")
        return run_transaction_statement(*open, body);
    if (verb == "commit")
    {
        auto answer = commit(*open, body);
        forget_transaction(handle);
        return answer;
    }
    if (verb != "rollback")
        return refuse({error_code::not_found, verb});
    auto ended = call_endpoint<endpoint_transaction>(
        *open->connection_, "/v1/rollback",
        endpoint_transaction{.handle_ = open->endpoint_handle_},
        call_timeout_ms, open->home_->seat_);
    open->end(ended.has_value());
    forget_transaction(handle);
    return {200, R"({"outcome":"done"})"};
}

http_answer request_handler::run_transaction_statement(transaction& open,
                                                       const std::string& body)
{
    auto request = decode_text<transaction_statement>(body);
    if (!request)
        return refuse(request.error());
    auto& port = *open.home_->members_[open.member_];
    constexpr std::int64_t transaction_priority = 3;
    instant deadline = monotonic_now() + call_timeout_ms;
    if (auto slot = port.slot_limiter_.acquire(transaction_priority, deadline);
        !slot)
        return refuse(slot.error());
    slot_guard held(port.slot_limiter_);
    auto response = call_endpoint<execute_answer>(
        *open.connection_, "/v1/transaction",
        endpoint_transaction{.term_ = open.term_,
                             .handle_ = open.endpoint_handle_,
                             .operations_ = request->operations_},
        call_timeout_ms, open.home_->seat_);
    if (response)
        return {200, nlohmann::json{{"outcome", "done"},
                                    {"results", encode(response->results_)}}
                         .dump()};
    // Closing the connection makes the endpoint roll back the transaction, of
    // which nothing has been committed.
    if (!is_endpoint_refusal(response.error().code_))
        open.end(false);
    return refuse(response.error());
}

http_answer request_handler::commit(transaction& open, const std::string& body)
{
    auto request = decode_text<commit_request>(body);
    if (!request)
        return refuse(request.error());
    auto token =
        session_token::from_text(request->token_, settings_.fleet_key_);
    if (!token)
        return refuse(token.error());
    std::int64_t span =
        request->deadline_ms_ < 0 ? call_timeout_ms : request->deadline_ms_;
    instant deadline = monotonic_now() + span;
    write_statement machine({.deadline_ = deadline,
                             .has_request_id_ = !request->request_id_.empty(),
                             .pinned_term_ = open.term_});
    auto run = [&](const send_attempt&) -> attempt_result
    {
        if (!open.connection_)
            return fail(error_code::unknown_transaction, "already ended");
        std::int64_t left =
            std::max<std::int64_t>(deadline - monotonic_now(), 1);
        auto response = call_endpoint<execute_answer>(
            *open.connection_, "/v1/commit",
            endpoint_transaction{.term_ = open.term_,
                                 .handle_ = open.endpoint_handle_,
                                 .request_id_ = request->request_id_,
                                 .operations_ = {}},
            left, open.home_->seat_);
        open.end(response.has_value() ||
                 is_endpoint_refusal(response.error().code_));
        return response;
    };
    auto answer = run_statement(machine, *open.home_, deadline, counters_, run);
    open.end(false);
    if (answer.outcome_ == outcome::done)
    {
        ++counters_.writes_;
        token->observe(open.service_, answer.position_);
    }
    return to_http(answer, token->to_text(settings_.fleet_key_));
}

void request_handler::forget_transaction(const std::string& handle)
{
    std::lock_guard lock(transactions_mutex_);
    transactions_.erase(handle);
}

void request_handler::expire_transactions(instant now)
{
    std::vector<std::shared_ptr<transaction>> old;
    {
        std::lock_guard lock(transactions_mutex_);
        for (auto entry = transactions_.begin(); entry != transactions_.end();)
        {
            if (now - entry->second->last_used_at_ <=
                transaction_idle_timeout_ms)
            {
                ++entry;
                continue;
            }
            old.push_back(entry->second);
            entry = transactions_.erase(entry);
        }
    }
    for (auto& open : old)
    {
        std::lock_guard lock(open->mutex_);
        open->end(false);
    }
}

} // namespace tanagerspan
