#include "stand_ins/session_endpoint.h"

#include <algorithm>
#include <chrono>

#include <boost/asio/steady_timer.hpp>

namespace tanagerspan
{

struct session_endpoint::connection
{
    std::size_t number_ = 0;
    std::shared_ptr<byte_stream> stream_;
    std::map<std::string, std::string> values_;
    std::map<std::string, statement> prepared_;
    std::string user_;
    std::size_t unread_ = 0; ///< bytes of an incomplete message
    std::uint64_t transaction_ = 0;
    bool read_only_ = false;
};

session_endpoint::session_endpoint(boost::asio::io_context& loop, options opts)
    : options_(std::move(opts)), loop_(loop), acceptor_(loop)
{
}

session_endpoint::~session_endpoint()
{
    stop();
}

void session_endpoint::start()
{
    using boost::asio::ip::tcp;
    acceptor_ = boost::asio::ip::tcp::acceptor(
        loop_, tcp::endpoint(boost::asio::ip::address_v4::loopback(), 0));
    accept_next();
}

void session_endpoint::stop()
{
    io_error ignored;
    acceptor_.close(ignored);
    close_connections();
}

void session_endpoint::close_connections()
{
    for (auto& client : connections_)
        client->stream_->close();
    connections_.clear();
}

std::string session_endpoint::address() const
{
    return "127.0.0.1:" + std::to_string(acceptor_.local_endpoint().port());
}

std::size_t session_endpoint::open_connections() const
{
    return connections_.size();
}

void session_endpoint::accept_next()
{
    acceptor_.async_accept(
        [this](io_error error, tcp_socket socket)
        {
            if (error)
                return;
            auto client = std::make_shared<connection>();
            client->number_ = ++opened_;
            client->stream_ = std::make_shared<byte_stream>(std::move(socket));
            connections_.push_back(client);
            std::weak_ptr<connection> weak_connection = client;
            client->stream_->start({.on_input_ =
                                        [this, weak_connection]
                                    {
                                        if (auto self = weak_connection.lock())
                                            serve(self);
                                    },
                                    .on_end_ =
                                        [this, weak_connection](const failure&)
                                    {
                                        std::erase(connections_,
                                                   weak_connection.lock());
                                    }});
            accept_next();
        });
}

void session_endpoint::serve(const std::shared_ptr<connection>& client)
{
    if (received_ != nullptr)
        *received_ += client->stream_->input().view().substr(client->unread_);
    while (client->stream_->is_open())
    {
        auto got =
            options_.codec_->extract_caller_message(client->stream_->input());
        client->unread_ = client->stream_->input().size();
        if (!got || !*got)
            return;
        if (const auto* wanted = std::get_if<open_session>(&**got))
            client->user_ = wanted->user_;
        if (silent_for_.contains(client->user_))
            return;
        if (const auto* wanted = std::get_if<open_session>(&**got))
            open(*client, *wanted);
        else if (const auto* what = std::get_if<statement>(&**got))
            run(*client, *what);
    }
}

void session_endpoint::open(connection& client, const open_session& wanted)
{
    bool is_served =
        wanted.database_ == options_.service_ &&
        (wanted.expected_.empty() || wanted.expected_ == options_.id_);
    std::string out;
    most_connections_ = std::max(most_connections_, connections_.size());
    if (is_served && connections_.size() <= options_.max_connections_)
    {
        options_.codec_->append_reply(out, {.position_ = options_.position_});
        return client.stream_->send(out);
    }
    options_.codec_->append_open_error(out,
                                       is_served
                                           ? reply_error::too_many_connections
                                           : reply_error::wrong_endpoint,
                                       options_.id_);
    client.stream_->send(out);
    client.stream_->close();
}

void session_endpoint::run(connection& client, const statement& what)
{
    asked_.push_back(what);
    auto injected = faults_ ? faults_(what) : std::nullopt;
    reply got;
    if (injected && injected->error_)
        got = {.error_ = injected->error_};
    else
        got = answer(client, what);
    if (injected && injected->silent_)
        return;
    if (injected && injected->close_)
        return client.stream_->close();
    got.state_ = client.transaction_ != 0 ? transaction_state::open
                                          : transaction_state::idle;
    got.position_ = options_.position_;
    std::string out;
    options_.codec_->append_reply(out, got);
    if (!injected || injected->delay_ms_ == 0)
        return client.stream_->send(out);
    auto timer = std::make_shared<boost::asio::steady_timer>(
        loop_, std::chrono::milliseconds(injected->delay_ms_));
    timer->async_wait(
        [timer, out, to = client.stream_](io_error)
        {
            to->send(out);
        });
}

reply session_endpoint::status(std::uint64_t paused_by_term) const
{
    return {.rows_ = {options_.codec_->status_row(
                {.primary_ = options_.primary_,
                 .term_ = options_.position_.term_,
                 .received_ = options_.position_,
                 .paused_by_term_ = paused_by_term})},
            .text_ = "-"};
}

reply session_endpoint::answer(connection& client, const statement& what)
{
    reply done{.text_ = "-"};
    if (what.min_position_ && *what.min_position_ > options_.position_)
        return {.error_ = reply_error::lagging, .text_ = options_.id_};
    switch (what.kind_)
    {
    case statement_kind::begin:
        if (!options_.primary_)
            return {.error_ = reply_error::read_only, .text_ = options_.id_};
        client.transaction_ = next_transaction_++;
        client.read_only_ = false;
        return done;
    case statement_kind::begin_read_only:
        client.transaction_ = next_transaction_++;
        client.read_only_ = true;
        return done;
    case statement_kind::rollback:
        client.transaction_ = 0;
        return done;
    case statement_kind::set_value:
        client.values_[what.name_] = what.arguments_;
        return done;
    case statement_kind::prepare:
        client.prepared_[what.name_] = what;
        return done;
    case statement_kind::discard:
        client.values_.clear();
        client.prepared_.clear();
        return done;
    case statement_kind::status:
        return status(0);
    case statement_kind::pause_receiving:
        return status(options_.primary_ ? 0 : what.term_);
    case statement_kind::step_down:
        options_.primary_ =
            options_.primary_ && what.term_ <= options_.position_.term_;
        return status(0);
    case statement_kind::read:
    case statement_kind::write:
    case statement_kind::execute:
    case statement_kind::commit:
        return execute_statement(client, what);
    default:
        return {.error_ = reply_error::malformed};
    }
}

reply session_endpoint::execute_statement(connection& client,
                                          const statement& what)
{
    ran_statement ran{.statement_ = what,
                      .connection_ = client.number_,
                      .user_ = client.user_,
                      .transaction_ = client.transaction_,
                      .values_ = client.values_};
    bool writes = what.writes_;
    if (what.kind_ == statement_kind::execute)
    {
        auto known = client.prepared_.find(what.name_);
        if (known == client.prepared_.end())
            return {.error_ = reply_error::no_statement};
        ran.shape_ = known->second.arguments_;
        writes = known->second.writes_;
    }
    bool read_write_transaction =
        client.transaction_ != 0 && !client.read_only_;
    if (!options_.primary_ && (writes || read_write_transaction))
        return {.error_ = reply_error::read_only, .text_ = options_.id_};
    if (writes && client.transaction_ == 0)
        ++options_.position_.index_;
    if (what.kind_ == statement_kind::commit)
    {
        if (!client.read_only_)
            ++options_.position_.index_;
        client.transaction_ = 0;
    }
    ran_.push_back(std::move(ran));
    return {.rows_ = {"row-" + what.arguments_}, .text_ = "digest-" + what.id_};
}

} // namespace tanagerspan
