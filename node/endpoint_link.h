#ifndef TANAGERSPAN_NODE_ENDPOINT_LINK_H
#define TANAGERSPAN_NODE_ENDPOINT_LINK_H

// One connection to an endpoint.
//
// Statements go out in order and each gets its reply or a failure, in the
// same order. The link knows which values and prepared statements the
// connection holds, so that any session can be brought onto it. A link that
// ended is never used again; one that was left in an unknown state is closed.
//
//   link->ask(statement, [](result<reply> got) {...});
//   link->flush();   // one write for all that was asked since
//
// Traffic thread only.

#include <cstdint>
#include <deque>
#include <functional>
#include <memory>
#include <string>

#include "coordination/session_replay.h"
#include "state/instant.h"
#include "state/service_catalogue.h"
#include "state/session_messages.h"
#include "transport/byte_stream.h"

namespace tanagerspan
{

class endpoint_link : public std::enable_shared_from_this<endpoint_link>
{
public:
    using reply_handler = std::function<void(result<reply>)>;

    struct options
    {
        const session_codec* codec_ = nullptr;
        std::string user_; ///< told to the endpoint: this proxy's name
    };

    endpoint_link(boost::asio::io_context& loop, options opts,
                  endpoint_entry endpoint);
    ~endpoint_link();

    /// Connects and opens a session; `done` with the endpoint's first reply,
    /// which may hold an error. Errors: not_sent, lost, malformed.
    void open(reply_handler done);

    /// Queues a statement. Errors: lost, malformed.
    void ask(const statement& what, reply_handler done);

    /// Sends what was queued.
    void flush();

    /// Ends the link; replies that are awaited fail first.
    void close(const failure& why);

    bool is_open() const
    {
        return stream_ && stream_->is_open();
    }
    /// Open, and the endpoint accepted the session.
    bool is_ready() const
    {
        return opened_ && is_open();
    }
    bool awaits_reply() const
    {
        return !awaited_.empty();
    }
    /// Since when a reply is awaited without one having come; `never`: none.
    instant awaiting_since() const
    {
        return awaiting_since_;
    }

    /// What the endpoint's last reply said of the connection.
    transaction_state state() const
    {
        return state_;
    }

    const endpoint_entry& endpoint() const
    {
        return endpoint_;
    }

    connection_values values_; ///< what the connection holds
    instant idle_since_ = never;
    bool awaits_write_ = false; ///< of a write or a commit
    bool lent_ = false;         ///< to work that has not asked anything yet
    std::function<void(const reply&)> on_reply_; ///< sees every reply
    std::function<void()> on_close_;

private:
    void take_replies();

    boost::asio::io_context& loop_;
    options options_;
    endpoint_entry endpoint_;
    std::shared_ptr<byte_stream> stream_;
    std::deque<reply_handler> awaited_;
    reply partial_;
    std::string output_;
    instant awaiting_since_ = never;
    transaction_state state_ = transaction_state::idle;
    bool opened_ = false; ///< the endpoint answered once
};

using link_ptr = std::shared_ptr<endpoint_link>;

} // namespace tanagerspan

#endif
