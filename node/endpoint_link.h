#ifndef TANAGERSPAN_NODE_ENDPOINT_LINK_H
#define TANAGERSPAN_NODE_ENDPOINT_LINK_H

// One connection to an endpoint.
//
// Statements are sent in order, and each gets a reply or a failure, in the
// same order. The link records the values and prepared statements that the
// connection holds, so that the connection can be brought into the state of
// any session. A closed link is not opened again. A link in an unknown state
// must be closed.
//
//   link->enqueue(statement, [](result<reply> got) {...});
//   link->flush(); // sends all queued statements in one write
//
// Not thread safe: use on the traffic thread only.

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
        std::string user_; ///< sent to the endpoint: this proxy's name
        /// The client account for which the connection is opened. If set, it
        /// is sent to the endpoint in place of `user_`.
        std::string account_{};
    };

    endpoint_link(boost::asio::io_context& loop, options opts,
                  endpoint_entry endpoint);
    ~endpoint_link();

    /// Connects and opens a session. `done` receives the endpoint's first
    /// reply, which may hold an error. Failures: not_sent, lost, malformed.
    void open(reply_handler done);

    /// Queues a statement. Failures: lost, malformed.
    void enqueue(const statement& stmt, reply_handler done);

    /// Sends the queued statements.
    void flush();

    /// Whether the endpoint ended the connection.
    bool ended_by_endpoint() const
    {
        return ended_by_endpoint_;
    }

    /// Closes the link. Pending replies fail with `why`.
    void close(const failure& why);

    bool is_open() const
    {
        return stream_ && stream_->is_open();
    }
    /// Whether the link is open and the endpoint has answered on it.
    bool is_ready() const
    {
        return opened_ && is_open();
    }
    bool awaits_reply() const
    {
        return !pending_.empty();
    }
    /// Since when the link has waited for the next reply: the time of the last
    /// reply or, after an idle period, of the flush. `never` if no reply is
    /// pending.
    instant awaiting_since() const
    {
        return awaiting_since_;
    }

    /// The transaction state that the endpoint's last reply reported.
    transaction_state state() const
    {
        return state_;
    }

    const endpoint_entry& endpoint() const
    {
        return endpoint_;
    }

    /// The client account whose statements may run on the connection; empty
    /// for statements that belong to no account.
    const std::string& account() const
    {
        return options_.account_;
    }

    /// The values and prepared statements on the connection.
    connection_state values_;
    instant idle_since_ = never;
    /// The reply to a write or a commit is pending.
    bool awaits_write_reply_ = false;
    bool assigned_ = false; ///< granted, and nothing was sent since
    /// Called for every reply, with `awaiting_since` before it.
    std::function<void(const reply&, instant)> on_reply_;
    std::function<void()> on_close_;

private:
    void process_replies();

    boost::asio::io_context& loop_;
    options options_;
    endpoint_entry endpoint_;
    std::shared_ptr<byte_stream> stream_;
    std::deque<reply_handler> pending_;
    reply partial_;
    std::string output_;
    instant awaiting_since_ = never;
    transaction_state state_ = transaction_state::idle;
    bool opened_ = false; ///< the endpoint has replied at least once
    bool ended_by_endpoint_ = false;
};

using link_ptr = std::shared_ptr<endpoint_link>;

} // namespace tanagerspan

#endif
