#include "node/endpoint_link.h"

#include <utility>

#include <boost/asio/post.hpp>

#include "transport/monotonic_clock.h"

namespace tanagerspan
{

endpoint_link::endpoint_link(boost::asio::io_context& loop, options opts,
                             endpoint_entry endpoint)
    : loop_(loop), options_(std::move(opts)), endpoint_(std::move(endpoint))
{
}

endpoint_link::~endpoint_link()
{
    if (stream_)
        stream_->close();
    // Lets the owner remove its pointer to this link.
    if (on_close_)
        on_close_();
}

void endpoint_link::open(reply_handler done)
{
    auto peer = parse_endpoint(endpoint_.address_);
    if (!peer)
        return boost::asio::post(loop_,
                                 [done = std::move(done), peer]
                                 {
                                     done(tl::unexpected(peer.error()));
                                 });
    pending_.push_back(std::move(done));
    awaiting_since_ = monotonic_now();
    const std::string& user =
        options_.account_.empty() ? options_.user_ : options_.account_;
    options_.codec_->append_open_session(output_, endpoint_.service_, user,
                                         endpoint_.id_);
    stream_ = std::make_shared<byte_stream>(tcp_socket(loop_));
    std::weak_ptr<endpoint_link> weak = weak_from_this();
    byte_stream::handlers handlers{.on_input_ =
                                       [weak]
                                   {
                                       if (auto self = weak.lock())
                                           self->process_replies();
                                   },
                                   .on_end_ =
                                       [weak](const failure& why)
                                   {
                                       auto self = weak.lock();
                                       if (!self)
                                           return;
                                       self->ended_by_endpoint_ = true;
                                       self->close(why);
                                   }};
    stream_->open(*peer, std::move(handlers),
                  [weak](result<void> opened)
                  {
                      auto self = weak.lock();
                      if (!self)
                          return;
                      if (!opened)
                          return self->close(opened.error());
                      self->flush();
                  });
}

void endpoint_link::enqueue(const statement& stmt, reply_handler done)
{
    pending_.push_back(std::move(done));
    options_.codec_->append_statement(output_, stmt);
}

void endpoint_link::flush()
{
    if (!is_open())
        return close({error_code::lost, "the connection is closed"});
    if (awaiting_since_ == never)
        awaiting_since_ = monotonic_now();
    assigned_ = false;
    stream_->send(output_);
    output_.clear();
}

void endpoint_link::process_replies()
{
    auto self = shared_from_this(); // a handler may release the link
    while (is_open())
    {
        auto got = options_.codec_->extract_reply(stream_->input(), partial_);
        if (!got)
            return close(got.error());
        if (!*got)
            return;
        if (pending_.empty())
            return close({error_code::malformed, "reply without a statement"});
        auto done = std::move(pending_.front());
        pending_.pop_front();
        instant waited_since = std::exchange(
            awaiting_since_, pending_.empty() ? never : monotonic_now());
        opened_ = true;
        state_ = (*got)->state_;
        if (on_reply_)
            on_reply_(**got, waited_since);
        done(std::move(**got));
    }
}

void endpoint_link::close(const failure& why)
{
    auto self = shared_from_this();
    if (stream_)
        stream_->close();
    auto pending = std::exchange(pending_, {});
    // An endpoint that refuses the session sends an error without the rest of
    // a reply and closes the connection.
    if (!opened_ && partial_.error_ && !pending.empty())
    {
        auto done = std::move(pending.front());
        pending.pop_front();
        done(std::exchange(partial_, {}));
    }
    for (auto& done : pending)
        done(tl::unexpected(why));
    if (auto on_close = std::exchange(on_close_, nullptr))
        on_close();
}

} // namespace tanagerspan
