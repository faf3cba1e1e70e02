#include "node/peer_server.h"

#include <algorithm>
#include <map>
#include <utility>
#include <vector>

#include "node/local_run.h"
#include "protocol/peer_frame.h"
#include "protocol/run_messages.h"
#include "transport/json_log.h"
#include "transport/monotonic_clock.h"

namespace tanagerspan
{
namespace
{

struct kept_transaction
{
    std::shared_ptr<endpoint_group> group_;
    pinned_transaction open_;
};

// A run and the session state to which it refers.
struct peer_run
{
    session_context context_;
    std::shared_ptr<endpoint_group> group_;
    std::uint64_t transaction_ = 0;
    std::shared_ptr<local_run> run_;
};

} // namespace

struct peer_server::peer : std::enable_shared_from_this<peer_server::peer>
{
    peer(boost::asio::io_context& loop, tcp_socket socket,
         endpoint_commands::options commands, group_lookup groups,
         allowance_server& allowances, relay_service relays)
        : stream_(std::make_shared<byte_stream>(std::move(socket))),
          groups_(std::move(groups)), allowances_(allowances),
          relay_service_(std::move(relays)),
          commands_(loop, std::move(commands),
                    [this](const command_answer& got)
                    {
                        on_command_answer(got);
                    })
    {
    }

    void start()
    {
        std::weak_ptr<peer> weak = weak_from_this();
        stream_->start({.on_input_ =
                            [weak]
                        {
                            if (auto self = weak.lock())
                                self->process_frames();
                        },
                        .on_end_ =
                            [weak](const failure& why)
                        {
                            if (auto self = weak.lock())
                                self->close(why);
                        }});
    }

    void send(frame_type type, std::uint64_t correlation,
              nlohmann::json body = nullptr) const
    {
        stream_->send(encode_frame({type, correlation, std::move(body)}));
    }

    void process_frames()
    {
        auto self = shared_from_this();
        while (!closed_)
        {
            auto frame = extract_frame(stream_->input());
            if (!frame)
                return close(frame.error());
            if (!*frame)
                return;
            on_frame(**frame);
        }
    }

    void on_frame(const peer_frame& frame)
    {
        switch (frame.type_)
        {
        case frame_type::probe:
            return send(frame_type::probe_reply, frame.correlation_id_);
        case frame_type::run:
            return on_run(frame);
        case frame_type::cancel_run:
            return abandon(frame.correlation_id_);
        case frame_type::rollback:
            return roll_back(frame.correlation_id_);
        case frame_type::command:
            return on_command(frame);
        case frame_type::allowance:
            return on_allowance(frame);
        case frame_type::relay_watch:
            return on_relay_watch(frame);
        default:
            return close({error_code::malformed, "unexpected frame type"});
        }
    }

    void on_run(const peer_frame& frame)
    {
        auto request = decode<run_request>(frame.body_);
        if (!request)
            return close(request.error());
        remote_statement stmt = from_run_request(*request, monotonic_now());
        std::uint64_t id = frame.correlation_id_;
        auto group = groups_(stmt.route_.service_);
        std::optional<pinned_transaction> open;
        if (stmt.transaction_ != 0)
        {
            auto kept = transactions_.find(stmt.transaction_);
            if (kept == transactions_.end())
                return refuse_unknown_transaction(id, stmt);
            group = kept->second.group_;
            open = kept->second.open_;
            transactions_.erase(kept);
        }
        if (!group)
            return answer(id, {.not_served_ = true});
        auto new_run = std::make_shared<peer_run>();
        new_run->context_.values_.values_ = std::move(stmt.values_);
        new_run->context_.own_commit_ = stmt.own_commit_;
        new_run->group_ = group;
        new_run->transaction_ = stmt.transaction_ != 0 ? stmt.transaction_ : id;
        run_options run{.statement_ = std::move(stmt.statement_),
                        .shape_ = std::move(stmt.shape_),
                        .writes_ = stmt.writes_,
                        .begin_ = stmt.begin_,
                        .transaction_ = std::move(open),
                        .route_ = std::move(stmt.route_),
                        .account_ = std::move(stmt.account_),
                        .arrived_ = stmt.arrived_,
                        .valid_until_ = stmt.valid_until_,
                        .session_ = &new_run->context_};
        bool declines = !stmt.must_accept_ && !run.transaction_ &&
                        run.needs_primary() && group->is_primary_unreachable();
        if (declines)
            return answer(id, {.not_served_ = true});
        std::weak_ptr<peer> weak = weak_from_this();
        new_run->run_ = std::make_shared<local_run>(
            group, std::move(run),
            [weak, id](run_outcome outcome)
            {
                if (auto self = weak.lock())
                    self->on_outcome(id, std::move(outcome));
            });
        runs_[id] = new_run;
        new_run->run_->start();
    }

    void on_allowance(const peer_frame& frame)
    {
        auto request = decode<allowance_request>(frame.body_);
        if (!request)
            return close(request.error());
        send(frame_type::allowance_reply, frame.correlation_id_,
             encode(allowances_.answer(*request, monotonic_now())));
    }

    void on_command(const peer_frame& frame)
    {
        auto request = decode<endpoint_command>(frame.body_);
        if (!request)
            return close(request.error());
        auto kind = static_cast<statement_kind>(request->kind_);
        if (!is_relayed(kind))
            return close({error_code::malformed, "not a takeover command"});
        endpoint_entry endpoint{.id_ = request->endpoint_id_,
                                .service_ = request->service_,
                                .address_ = request->address_};
        bool sent =
            commands_.send(endpoint, {.kind_ = kind, .term_ = request->term_});
        // The answer that is awaited belongs to an earlier command.
        if (!sent)
            return send(frame_type::command_reply, frame.correlation_id_,
                        encode(endpoint_command_reply{}));
        commanded_[endpoint.id_] = frame.correlation_id_;
    }

    void on_command_answer(const command_answer& got)
    {
        auto found = commanded_.find(got.endpoint_id_);
        if (found == commanded_.end())
            return;
        std::uint64_t id = found->second;
        commanded_.erase(found);
        log_line(log_level::info, "command_relayed",
                 {{"endpoint", got.endpoint_id_},
                  {"statement_kind", static_cast<int>(got.kind_)},
                  {"answered", got.status_.has_value()},
                  {"detail", got.detail_},
                  {"is_primary", got.status_ && got.status_->primary_}});
        send(frame_type::command_reply, id,
             encode(got.status_ ? reply_of(*got.status_)
                                : endpoint_command_reply{}));
    }

    void on_relay_watch(const peer_frame& frame)
    {
        auto request = decode<relay_request>(frame.body_);
        if (!request)
            return close(request.error());
        relay_service_(*request,
                       [weak = weak_from_this(),
                        id = frame.correlation_id_](const relay_reply& reply)
                       {
                           auto self = weak.lock();
                           if (self && !self->closed_)
                               self->send(frame_type::relay_watch_reply, id,
                                          encode(reply));
                       });
    }

    void refuse_unknown_transaction(std::uint64_t id,
                                    const remote_statement& stmt)
    {
        bool ends = stmt.statement_.kind_ == statement_kind::commit;
        answer(id, {.answer_ = {.error_ = reply_error::aborted,
                                .text_ = "the transaction has ended",
                                .state_ = ends ? transaction_state::idle
                                               : transaction_state::failed},
                    .rolled_back_ = true});
    }

    void answer(std::uint64_t id, const remote_outcome& outcome) const
    {
        send(frame_type::run_reply, id, encode(to_run_reply(outcome)));
    }

    void on_outcome(std::uint64_t id, run_outcome outcome)
    {
        auto found = runs_.find(id);
        if (found == runs_.end())
            return;
        auto ended = found->second;
        runs_.erase(found);
        // This function is called from within the run, which must not be
        // deleted yet.
        ended_runs_.push_back(ended);
        if (outcome.transaction_)
            transactions_[ended->transaction_] = {ended->group_,
                                                  *outcome.transaction_};
        answer(id, {.answer_ = std::move(outcome.answer_),
                    .transaction_open_ = outcome.transaction_.has_value(),
                    .rolled_back_ = outcome.rolled_back_});
    }

    void abandon(std::uint64_t id)
    {
        auto found = runs_.find(id);
        if (found == runs_.end())
            return roll_back(id); // the outcome was already sent
        auto ended = found->second;
        runs_.erase(found);
        ended_runs_.push_back(ended);
        ended->run_->abandon();
    }

    void roll_back(std::uint64_t id)
    {
        auto kept = transactions_.find(id);
        if (kept == transactions_.end())
            return;
        kept->second.group_->roll_back(kept->second.open_.link_,
                                       monotonic_now());
        transactions_.erase(kept);
    }

    void roll_back_transactions()
    {
        while (!transactions_.empty())
            roll_back(transactions_.begin()->first);
    }

    void close(const failure& why)
    {
        auto self = shared_from_this();
        if (std::exchange(closed_, true))
            return;
        log_line(log_level::info, "peer_connection_closed",
                 {{"runs", runs_.size()},
                  {"transactions", transactions_.size()},
                  {"detail", why.detail_}});
        while (!runs_.empty())
            abandon(runs_.begin()->first);
        roll_back_transactions();
        stream_->close();
    }

    void tick(instant now)
    {
        ended_runs_.clear();
        commands_.tick(now);
        std::vector<std::shared_ptr<peer_run>> running;
        running.reserve(runs_.size());
        for (const auto& [id, run] : runs_)
            running.push_back(run);
        for (const auto& run : running)
            run->run_->tick(now);
    }

    std::shared_ptr<byte_stream> stream_;
    group_lookup groups_;
    allowance_server& allowances_;
    relay_service relay_service_;
    std::map<std::uint64_t, std::shared_ptr<peer_run>> runs_;
    std::map<std::uint64_t, kept_transaction> transactions_;
    std::vector<std::shared_ptr<peer_run>> ended_runs_;
    endpoint_commands commands_;
    /// The command whose answer an endpoint owes, by endpoint id.
    std::map<std::string, std::uint64_t> commanded_;
    bool closed_ = false;
};

peer_server::peer_server(boost::asio::io_context& loop,
                         endpoint_commands::options commands,
                         group_lookup groups, allowance_server& allowances)
    : loop_(loop), command_options_(std::move(commands)),
      groups_(std::move(groups)), allowances_(allowances),
      relay_service_(
          [](const relay_request&,
             const std::function<void(const relay_reply&)>& done)
          {
              done({.outcome_ =
                        static_cast<std::int64_t>(relay_outcome::unavailable)});
          }),
      acceptor_(loop)
{
}

peer_server::~peer_server()
{
    for (auto& connection : peers_)
        connection->close({error_code::leaving, "this proxy is stopping"});
}

result<void> peer_server::start(const std::string& address)
{
    if (auto listening = listen_on(acceptor_, address); !listening)
        return listening;
    accept_next();
    return {};
}

void peer_server::accept_next()
{
    acceptor_.async_accept(
        [this, alive = std::weak_ptr<bool>(alive_)](io_error error,
                                                    tcp_socket socket)
        {
            if (alive.expired() ||
                error == boost::asio::error::operation_aborted)
                return;
            if (!error)
            {
                auto connection = std::make_shared<peer>(
                    loop_, std::move(socket), command_options_,
                    [this](const std::string& service)
                    {
                        ++runs_;
                        return groups_(service);
                    },
                    allowances_, relay_service_);
                peers_.push_back(connection);
                connection->start();
                if (leaving_)
                    connection->send(frame_type::leaving, 0);
            }
            accept_next();
        });
}

void peer_server::tick(instant now)
{
    for (auto& connection : peers_)
        connection->tick(now);
    std::erase_if(peers_,
                  [](const std::shared_ptr<peer>& connection)
                  {
                      return connection->closed_;
                  });
}

void peer_server::announce_leaving()
{
    leaving_ = true;
    for (const auto& connection : peers_)
        connection->send(frame_type::leaving, 0);
}

void peer_server::roll_back_transactions()
{
    for (const auto& connection : peers_)
        connection->roll_back_transactions();
}

bool peer_server::is_idle() const
{
    return std::all_of(peers_.begin(), peers_.end(),
                       [](const std::shared_ptr<peer>& connection)
                       {
                           return connection->runs_.empty() &&
                                  connection->transactions_.empty();
                       });
}

} // namespace tanagerspan
