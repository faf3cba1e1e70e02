#ifndef TANAGERSPAN_NODE_ENDPOINT_COMMANDS_H
#define TANAGERSPAN_NODE_ENDPOINT_COMMANDS_H

// Sends the commands of one takeover to the endpoints of a service: over a
// connection of this host and, if the endpoint does not answer on it, through
// other hosts.
//
// A network cut may separate this host from an endpoint that works for others.
// Other hosts are asked in small groups, one group after the other, until one
// of them has an answer. The next command for that endpoint goes to the host
// with the last answer at once.
//
//   endpoint_commands commands(loop, {...}, on_answer);
//   commands.set_relays(&links, other_hosts);
//   commands.send(entry, {.kind_ = statement_kind::status});
//   commands.tick(now); // every few tens of milliseconds
//
// An answer is delivered only if it arrives within the timeout of its command,
// and after no answer to a later command: callers take it as the state of the
// endpoint at this moment.
//
// Not thread safe: use on the thread of the event loop only.

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "node/endpoint_link.h"
#include "node/home_link.h"
#include "protocol/endpoint_command.h"
#include "state/fleet_host.h"

namespace tanagerspan
{

struct command_answer
{
    std::string endpoint_id_;
    statement_kind kind_ = statement_kind::status;
    std::optional<endpoint_status> status_{}; ///< nullopt: no answer
    /// The endpoint is running, but answered with an error.
    bool refused_ = false;
    std::string relay_{};  ///< the host that had the answer; empty: this host
    std::string detail_{}; ///< why there is no status
};

class endpoint_commands
{
public:
    struct options
    {
        const session_codec* codec_ = nullptr;
        std::string host_name_; ///< sent to endpoints as the user
        /// Timeout for an answer. The connection is then replaced.
        std::int64_t timeout_ms_ = 500;
        /// Other hosts are asked after this time without an answer: many times
        /// the round trip to an endpoint that is not overloaded.
        std::int64_t relay_after_ms_ = 100;
        /// How many hosts are asked at the same time. Each of them may open a
        /// connection to the endpoint.
        std::size_t relays_at_once_ = 4;
        /// Time between one group of hosts and the next.
        std::int64_t relay_step_ms_ = 100;
    };
    using answer_handler = std::function<void(const command_answer&)>;

    endpoint_commands(boost::asio::io_context& loop, options opts,
                      answer_handler on_answer);
    ~endpoint_commands();

    /// The hosts to ask for endpoints that do not answer, in this order, and
    /// the links to them. Without relays all commands are sent directly.
    void set_relays(home_pool* links, std::vector<fleet_host> hosts);

    /// Sends a command. Returns whether it was sent over this host's own
    /// connection, on which an earlier one may still await its answer.
    bool send(const endpoint_entry& endpoint, const statement& command);

    /// Applies timeouts and asks other hosts.
    void tick(instant now);

private:
    struct target
    {
        endpoint_entry entry_;
        link_ptr link_;
        instant sent_at_ = never; ///< on `link_`
        statement command_{};
        instant command_since_ = never;    ///< never: no other host is asked
        std::uint64_t round_ = 0;          ///< number of the command
        std::uint64_t answered_round_ = 0; ///< the last one with an answer
        std::size_t relays_asked_ = 0;
        std::size_t relays_pending_ = 0; ///< asked, without an outcome
        instant last_relays_at_ = never;
        std::vector<std::shared_ptr<home_link>> opening_; ///< to be asked
        instant relay_answered_at_ = never;
        /// The host with the last answer; empty: this one, or none.
        std::string last_relay_;
        /// This host's connection failed; reported at this time unless another
        /// host has an answer.
        instant report_failure_at_ = never;
        std::string failure_;
    };

    bool send_directly(target& to);
    void on_direct_answer(const std::string& id, statement_kind kind,
                          std::uint64_t round, const result<reply>& answer);
    void on_direct_failure(target& to, statement_kind kind,
                           const failure& cause);
    void report_failure(target& to);
    void ask_relays(target& to, instant now);
    void ask_relay(target& to, const fleet_host& host, instant now);
    void ask_last_relay(target& to, instant now);
    void ask_or_give_up(target& to, instant now);
    void send_to_relay(target& to, home_link& relay);
    void on_relay_answer(const std::string& id, std::uint64_t round,
                         const std::string& relay,
                         const result<endpoint_command_reply>& answer);
    void replace_timed_out_link(target& to, instant now);

    boost::asio::io_context& loop_;
    options options_;
    answer_handler on_answer_;
    home_pool* relay_links_ = nullptr;
    std::vector<fleet_host> relays_;
    std::map<std::string, target> targets_; ///< by endpoint id
    std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
};

} // namespace tanagerspan

#endif
