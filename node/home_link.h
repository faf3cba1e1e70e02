#ifndef TANAGERSPAN_NODE_HOME_LINK_H
#define TANAGERSPAN_NODE_HOME_LINK_H

// The connection from this proxy to another proxy that is a home of services,
// and the pool of these connections.
//
// The statements of many sessions share one link. Each run has a correlation
// id, and outcomes arrive in any order. The home keeps a transaction under the
// id of the run that began it until the transaction is committed or rolled
// back, or the link ends. When a link ends, its pending runs fail; a closed
// link is not opened again, the pool opens a new one.
//
// A run can take long, because statements wait for connections at the home.
// A missing outcome therefore does not show that the home failed. While runs
// are pending, the link sends probes; a home that leaves a probe unanswered
// counts as silent until its next frame.
//
// Watches at a relay share the links. They wait by design, so a missing reply
// is no reason for a probe.
//
// Not thread safe: use on the traffic thread only.

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <string>

#include "protocol/allowance_messages.h"
#include "protocol/endpoint_command.h"
#include "protocol/peer_frame.h"
#include "protocol/relay_messages.h"
#include "protocol/run_messages.h"
#include "state/fleet_host.h"
#include "transport/byte_stream.h"

namespace tanagerspan
{

class home_link : public std::enable_shared_from_this<home_link>
{
public:
    using outcome_handler = std::function<void(result<remote_outcome>)>;
    using command_handler = std::function<void(result<endpoint_command_reply>)>;
    using allowance_handler = std::function<void(result<allowance_reply>)>;
    using relay_handler = std::function<void(result<relay_reply>)>;

    home_link(boost::asio::io_context& loop, fleet_host home);

    void open();
    void close(const failure& why);

    /// Sends a statement and returns the id of its run. `done` receives the
    /// outcome or the failure with which the link closed.
    std::uint64_t run(const remote_statement& stmt, outcome_handler done);
    /// Tells the home to end the run. The run's handler is not called.
    void abandon(std::uint64_t run);
    /// Rolls back the transaction that the run with this id began.
    void roll_back(std::uint64_t transaction);

    /// Lets the other proxy pass a command on to an endpoint. `done` receives
    /// its reply or the failure with which the link closed.
    void command(const endpoint_command& request, command_handler done);

    /// Requests tokens of an allowance slice. `done` receives the reply or the
    /// failure with which the link closed.
    void request_allowance(const allowance_request& request,
                           allowance_handler done);
    /// Sends a watch to a relay, as soon as the link is open. `done` receives
    /// the reply or a failure: not_sent if the other proxy is leaving, lost if
    /// no reply came in time, or that with which the link closed.
    void watch_at_relay(const relay_request& request, relay_handler done);

    /// Sends a probe when one is due and applies the timeouts. Call it every
    /// few tens of milliseconds.
    void tick(instant now);

    bool is_open() const
    {
        return opened_ && stream_->is_open();
    }
    bool is_opening() const
    {
        return !opened_ && !closed_;
    }
    /// Whether the link is or was open.
    bool was_open() const
    {
        return opened_;
    }
    bool is_closed() const
    {
        return closed_;
    }
    /// Whether new statements can be sent to the home.
    bool is_usable() const
    {
        return is_open() && !leaving_ && !silent_;
    }
    bool is_silent() const
    {
        return silent_;
    }
    const fleet_host& home() const
    {
        return home_;
    }

private:
    /// A probe is sent after this time without a frame while runs are pending.
    /// Most runs are answered sooner.
    static constexpr std::int64_t probe_after_ms = 120;
    /// The home counts as silent this long after an unanswered probe: many
    /// round trips between data centres and several scheduling delays of a
    /// busy process.
    static constexpr std::int64_t probe_timeout_ms = 250;
    /// The timeout for opening the link.
    static constexpr std::int64_t open_timeout_ms = 500;

    void process_frames();
    void on_run_reply(const peer_frame& frame);
    void on_relay_reply(const peer_frame& frame);
    void expire_relay_watches(instant now);
    void on_command_reply(const peer_frame& frame);
    void on_allowance_reply(const peer_frame& frame);
    void on_frame(const peer_frame& frame);
    void send(frame_type type, std::uint64_t correlation,
              nlohmann::json body = nullptr);

    fleet_host home_;
    std::shared_ptr<byte_stream> stream_;
    std::map<std::uint64_t, outcome_handler> pending_;
    std::map<std::uint64_t, command_handler> pending_commands_;
    std::map<std::uint64_t, allowance_handler> pending_allowances_;
    struct relay_watch
    {
        relay_request request_;
        relay_handler done_;
        instant until_;
    };
    std::map<std::uint64_t, relay_watch> pending_watches_;
    std::uint64_t next_run_ = 1;
    instant opening_since_ = never;
    instant last_frame_at_ = never;
    /// The time of the last frame or, if no run was pending then, of the first
    /// request after it. `never` if no run is pending.
    instant waiting_since_ = never;
    instant probe_sent_at_ = never;
    bool opened_ = false;
    bool closed_ = false;
    bool leaving_ = false;
    bool silent_ = false;
};

class home_pool
{
public:
    explicit home_pool(boost::asio::io_context& loop) : loop_(loop)
    {
    }
    ~home_pool();

    /// The link to a home, which is opened if necessary. Null during the pause
    /// after a link to this home closed.
    std::shared_ptr<home_link> link_to(const fleet_host& home, instant now);

    void tick(instant now);

    /// Closes all links.
    void close_all();

    std::size_t open_links() const;

private:
    /// The pause before a new link to a home. It doubles up to the longest
    /// pause while links fail to open: a process restarts within a second or
    /// two, a failed host does not.
    static constexpr std::int64_t min_pause_ms = 100;
    static constexpr std::int64_t max_pause_ms = 1600;

    struct entry
    {
        std::shared_ptr<home_link> link_;
        instant retry_at_ = never;
        std::int64_t pause_ms_ = min_pause_ms;
    };

    boost::asio::io_context& loop_;
    std::map<std::string, entry> links_; ///< by the home's address for peers
};

} // namespace tanagerspan

#endif
