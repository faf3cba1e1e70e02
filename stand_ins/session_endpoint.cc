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
    for (auto& one : connections_)
        one->stream_->close();
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
        [this](io_error wrong, tcp_socket socket)
        {
            if (wrong)
                return;
            auto from = std::make_shared<connection>();
            from->number_ = ++opened_;
            from->stream_ = std::make_shared<byte_stream>(std::move(socket));
            connections_.push_back(from);
            std::weak_ptr<connection> weak = from;
            from->stream_->start({.on_input_ =
                                      [this, weak]
                                  {
                                      if (auto self = weak.lock())
                                          serve(self);
                                  },
                                  .on_end_ =
                                      [this, weak](const failure&)
                                  {
                                      std::erase(connections_, weak.lock());
                                  }});
            accept_next();
        });
}

void session_endpoint::serve(const std::shared_ptr<connection>& from)
{
    while (from->stream_->is_open())
    {
        auto got =
            options_.codec_->extract_caller_message(from->stream_->input());
        if (!got || !*got)
            return;
        if (const auto* wanted = std::get_if<open_session>(&**got))
            open(*from, *wanted);
        else if (const auto* what = std::get_if<statement>(&**got))
            run(*from, *what);
    }
}

void session_endpoint::open(connection& from, const open_session& wanted)
{
    bool mine = wanted.database_ == options_.service_ &&
                (wanted.expected_.empty() || wanted.expected_ == options_.id_);
    std::string out;
    if (mine && connections_.size() <= options_.max_connections_)
    {
        options_.codec_->append_reply(out, {.position_ = options_.position_});
        return from.stream_->send(out);
    }
    options_.codec_->append_open_error(out,
                                       mine ? reply_error::too_many_connections
                                            : reply_error::wrong_endpoint,
                                       options_.id_);
    from.stream_->send(out);
    from.stream_->close();
}

void session_endpoint::run(connection& from, const statement& what)
{
    asked_.push_back(what);
    auto fails = faults_ ? faults_(what) : std::nullopt;
    reply got;
    if (fails && fails->error_)
        got = {.error_ = fails->error_};
    else
        got = answer(from, what);
    if (fails && fails->silent_)
        return;
    if (fails && fails->close_)
        return from.stream_->close();
    got.state_ = from.transaction_ != 0 ? transaction_state::open
                                        : transaction_state::idle;
    got.position_ = options_.position_;
    std::string out;
    options_.codec_->append_reply(out, got);
    if (!fails || fails->delay_ms_ == 0)
        return from.stream_->send(out);
    auto timer = std::make_shared<boost::asio::steady_timer>(
        loop_, std::chrono::milliseconds(fails->delay_ms_));
    timer->async_wait(
        [timer, out, to = from.stream_](io_error)
        {
            to->send(out);
        });
}

reply session_endpoint::answer(connection& from, const statement& what)
{
    reply done{.text_ = "-"};
    if (what.min_position_ && *what.min_position_ > options_.position_)
        return {.error_ = reply_error::lagging, .text_ = options_.id_};
    switch (what.kind_)
    {
    case statement_kind::begin:
        if (!options_.primary_)
            return {.error_ = reply_error::read_only, .text_ = options_.id_};
        from.transaction_ = next_transaction_++;
        from.read_only_ = false;
        return done;
    case statement_kind::begin_read_only:
        from.transaction_ = next_transaction_++;
        from.read_only_ = true;
        return done;
    case statement_kind::rollback:
        from.transaction_ = 0;
        return done;
    case statement_kind::set_value:
        from.values_[what.name_] = what.arguments_;
        return done;
    case statement_kind::prepare:
        from.prepared_[what.name_] = what;
        return done;
    case statement_kind::discard:
        from.values_.clear();
        from.prepared_.clear();
        return done;
    case statement_kind::status:
        return {.rows_ = {options_.codec_->status_row(
                    {.primary_ = options_.primary_,
                     .term_ = options_.position_.term_,
                     .received_ = options_.position_})},
                .text_ = "-"};
    case statement_kind::read:
    case statement_kind::write:
    case statement_kind::execute:
    case statement_kind::commit:
        return run_work(from, what);
    default:
        return {.error_ = reply_error::malformed};
    }
}

reply session_endpoint::run_work(connection& from, const statement& what)
{
    ran_statement ran{.statement_ = what,
                      .connection_ = from.number_,
                      .transaction_ = from.transaction_,
                      .values_ = from.values_};
    bool writes = what.writes_;
    if (what.kind_ == statement_kind::execute)
    {
        auto known = from.prepared_.find(what.name_);
        if (known == from.prepared_.end())
            return {.error_ = reply_error::no_statement};
        ran.shape_ = known->second.arguments_;
        writes = known->second.writes_;
    }
    bool plain = from.transaction_ != 0 && !from.read_only_;
    if (!options_.primary_ && (writes || plain))
        return {.error_ = reply_error::read_only, .text_ = options_.id_};
    if (writes && from.transaction_ == 0)
        ++options_.position_.index_;
    if (what.kind_ == statement_kind::commit)
    {
        if (!from.read_only_)
            ++options_.position_.index_;
        from.transaction_ = 0;
    }
    ran_.push_back(std::move(ran));
    return {.rows_ = {"row-" + what.arguments_}, .text_ = "digest-" + what.id_};
}

} // namespace tanagerspan
