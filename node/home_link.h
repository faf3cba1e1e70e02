#ifndef TANAGERSPAN_NODE_HOME_LINK_H
#define TANAGERSPAN_NODE_HOME_LINK_H

// The connection of a proxy to another one that is a home of services, and
// the pool of these connections.
//
// Statements of many sessions share one link; each run has a correlation id,
// and its outcome may come in any order. A transaction that a run began is
// kept by the home under that run's id until it ends, the link ends, or it is
// rolled back. A link that ended fails all that it awaits and is not used
// again; the pool opens a new one.
//
// A home may take long for a run, since work waits there; so silence alone
// tells nothing. A link on which something is awaited is probed, and a home
// that leaves the probe unanswered counts as silent until it is heard again.
//
// Traffic thread only.

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <string>

#include "protocol/peer_frame.h"
#include "protocol/run_messages.h"
#include "state/fleet_host.h"
#include "transport/byte_stream.h"

namespace tanagerspan
{

class home_link : public std::enable_shared_from_this<home_link>
{
public:
    using outcome_handler = std::function<void(result<remote_outcome>)>;

    home_link(boost::asio::io_context& loop, fleet_host home);

    void open();
    void close(const failure& why);

    /// Sends a statement; the id of the run. Errors: lost.
    std::uint64_t run(const remote_statement& what, outcome_handler done);
    /// The run's outcome is not awaited any more.
    void abandon(std::uint64_t run);
    void roll_back(std::uint64_t transaction);

    /// Probes the home where that is due.
    void tick(instant now);

    bool is_open() const
    {
        return opened_ && stream_->is_open();
    }
    bool is_opening() const
    {
        return !opened_ && !closed_;
    }
    /// It was open at some time.
    bool was_open() const
    {
        return opened_;
    }
    bool is_closed() const
    {
        return closed_;
    }
    /// Takes new work.
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
    /// Most statements are answered within it, and need no probe.
    static constexpr std::int64_t probe_after_ms = 120;
    /// Many round trips between data centres and a few turns of a busy process.
    static constexpr std::int64_t silent_after_ms = 250;
    /// A link that is not open by then is given up.
    static constexpr std::int64_t open_ms = 500;

    void take_frames();
    void on_frame(const peer_frame& frame);
    void send(frame_type type, std::uint64_t correlation,
              nlohmann::json body = nullptr);

    fleet_host home_;
    std::shared_ptr<byte_stream> stream_;
    std::map<std::uint64_t, outcome_handler> awaited_;
    std::uint64_t next_run_ = 1;
    instant opening_since_ = never;
    instant heard_ = never;
    instant asked_ = never; ///< the first request since it was heard last
    instant probed_ = never;
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

    /// The link to a home; opens one where there is none, but not again at
    /// once after one ended. Null in that pause.
    std::shared_ptr<home_link> link_to(const fleet_host& home, instant now);

    void tick(instant now);

    std::size_t open_links() const;

private:
    /// Between attempts, doubled up to the second figure while they fail: an
    /// ended process is back within a second or two, a lost host is not.
    static constexpr std::int64_t first_retry_ms = 100;
    static constexpr std::int64_t longest_retry_ms = 1600;

    struct entry
    {
        std::shared_ptr<home_link> link_;
        instant retry_at_ = never;
        std::int64_t pause_ms_ = first_retry_ms;
    };

    boost::asio::io_context& loop_;
    std::map<std::string, entry> links_; ///< by peers address
};

} // namespace tanagerspan

#endif
