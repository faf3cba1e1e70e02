#include "node/endpoint_commands.h"

#include <algorithm>
#include <utility>

#include "transport/monotonic_clock.h"

namespace tanagerspan
{

endpoint_commands::endpoint_commands(boost::asio::io_context& loop,
                                     options opts, answer_handler on_answer)
    : loop_(loop), options_(std::move(opts)), on_answer_(std::move(on_answer))
{
}

endpoint_commands::~endpoint_commands()
{
    // From here on the handlers of the links do not access this object.
    alive_.reset();
    for (auto& [id, to] : targets_)
    {
        if (to.link_)
            to.link_->close({error_code::leaving, "the takeover has ended"});
    }
}

void endpoint_commands::set_relays(home_pool* links,
                                   std::vector<fleet_host> hosts)
{
    relay_links_ = links;
    relays_ = std::move(hosts);
}

bool endpoint_commands::send(const endpoint_entry& endpoint,
                             const statement& command)
{
    target& to = targets_[endpoint.id_];
    to.entry_ = endpoint;
    to.command_ = command;
    ++to.round_;
    to.opening_.clear();
    to.relays_asked_ = to.relays_pending_ = 0;
    to.last_relays_at_ = never;
    bool relayed = is_relayed(command.kind_) && !relays_.empty();
    to.command_since_ = relayed ? monotonic_now() : never;
    bool sent = send_directly(to);
    if (relayed && !to.last_relay_.empty())
        ask_last_relay(to, monotonic_now());
    return sent;
}

bool endpoint_commands::send_directly(target& to)
{
    std::string id = to.entry_.id_;
    auto on_answer =
        [this, id, kind = to.command_.kind_, round = to.round_,
         alive = std::weak_ptr<bool>(alive_)](const result<reply>& answer)
    {
        if (!alive.expired())
            on_direct_answer(id, kind, round, answer);
    };
    // A resume is sent at once, without waiting for the answer to a pause.
    bool can_send = to.link_ && to.link_->is_ready() &&
                    (!to.link_->awaits_reply() ||
                     to.command_.kind_ == statement_kind::resume_receiving);
    if (can_send)
    {
        to.sent_at_ = monotonic_now();
        to.link_->enqueue(to.command_, on_answer);
        to.link_->flush();
        return true;
    }
    if (to.link_ && to.link_->awaits_reply())
        return false; // `tick` replaces the link if the answer times out.
    to.sent_at_ = monotonic_now();
    to.link_ = std::make_shared<endpoint_link>(
        loop_,
        endpoint_link::options{.codec_ = options_.codec_,
                               .user_ = options_.host_name_},
        to.entry_);
    // The handler does not own the link, which the link's owner may replace.
    std::weak_ptr<endpoint_link> weak = to.link_;
    to.link_->open(
        [weak, command = to.command_, on_answer](const result<reply>& opened)
        {
            if (!opened || opened->error_)
                return on_answer(opened);
            if (auto link = weak.lock())
            {
                link->enqueue(command, on_answer);
                link->flush();
            }
        });
    return true;
}

void endpoint_commands::on_direct_answer(const std::string& id,
                                         statement_kind kind,
                                         std::uint64_t round,
                                         const result<reply>& answer)
{
    target& to = targets_[id];
    if (!answer)
        return on_direct_failure(to, kind, answer.error());
    if (round < to.answered_round_)
        return;
    to.answered_round_ = round;
    to.command_since_ = to.report_failure_at_ = never;
    to.last_relay_.clear();
    command_answer out{.endpoint_id_ = id,
                       .kind_ = kind,
                       .refused_ = answer->error_.has_value()};
    if (answer->error_)
        out.detail_ = std::string(name_of(*answer->error_));
    auto status = options_.codec_->status_of(*answer);
    if (status)
        out.status_ = *status;
    on_answer_(out);
}

void endpoint_commands::on_direct_failure(target& to, statement_kind kind,
                                          const failure& cause)
{
    // The endpoint works, but not for this host.
    if (to.relay_answered_at_ >= to.sent_at_)
        return;
    to.failure_ = cause.detail_;
    bool relays_may_answer =
        to.command_since_ != never && is_relayed(kind) &&
        monotonic_now() - to.sent_at_ < options_.timeout_ms_;
    if (!relays_may_answer)
        return report_failure(to);
    // A connection that is refused at once may be the effect of a cut, too.
    to.report_failure_at_ = to.sent_at_ + options_.timeout_ms_;
    ask_relays(to, monotonic_now());
}

void endpoint_commands::report_failure(target& to)
{
    to.report_failure_at_ = never;
    on_answer_({.endpoint_id_ = to.entry_.id_,
                .kind_ = to.command_.kind_,
                .detail_ = to.failure_});
}

void endpoint_commands::ask_last_relay(target& to, instant now)
{
    auto last = std::find_if(relays_.begin(), relays_.end(),
                             [&to](const fleet_host& host)
                             {
                                 return host.name_ == to.last_relay_;
                             });
    if (last == relays_.end())
        return;
    to.last_relays_at_ = now;
    ask_relay(to, *last, now);
}

void endpoint_commands::ask_relays(target& to, instant now)
{
    to.last_relays_at_ = now;
    for (std::size_t i = 0;
         i < options_.relays_at_once_ && to.relays_asked_ < relays_.size(); ++i)
        ask_relay(to, relays_[to.relays_asked_++], now);
}

void endpoint_commands::ask_relay(target& to, const fleet_host& host,
                                  instant now)
{
    auto relay = relay_links_->link_to(host, now);
    if (!relay)
        return;
    ++to.relays_pending_;
    if (relay->is_open())
        send_to_relay(to, *relay);
    else
        to.opening_.push_back(std::move(relay));
}

void endpoint_commands::send_to_relay(target& to, home_link& relay)
{
    relay.command({.service_ = to.entry_.service_,
                   .endpoint_id_ = to.entry_.id_,
                   .address_ = to.entry_.address_,
                   .kind_ = static_cast<std::int64_t>(to.command_.kind_),
                   .term_ = to.command_.term_},
                  [this, id = to.entry_.id_, round = to.round_,
                   host = relay.home().name_,
                   alive = std::weak_ptr<bool>(alive_)](
                      const result<endpoint_command_reply>& answer)
                  {
                      if (!alive.expired())
                          on_relay_answer(id, round, host, answer);
                  });
}

void endpoint_commands::on_relay_answer(
    const std::string& id, std::uint64_t round, const std::string& relay,
    const result<endpoint_command_reply>& answer)
{
    target& to = targets_[id];
    // Another command was sent, or another host or this one had the answer.
    if (round != to.round_ || to.command_since_ == never)
        return;
    if (!answer || !answer->answered_)
    {
        --to.relays_pending_;
        if (relay == to.last_relay_)
            to.last_relay_.clear();
        return;
    }
    to.command_since_ = to.report_failure_at_ = never;
    to.last_relay_ = relay;
    to.relay_answered_at_ = monotonic_now();
    to.answered_round_ = round;
    on_answer_({.endpoint_id_ = id,
                .kind_ = to.command_.kind_,
                .status_ = status_of(*answer),
                .relay_ = relay});
}

void endpoint_commands::replace_timed_out_link(target& to, instant now)
{
    if (to.link_ && to.link_->awaits_reply() &&
        now - to.sent_at_ > options_.timeout_ms_)
        std::exchange(to.link_, nullptr)
            ->close({error_code::lost, "the command timed out"});
}

void endpoint_commands::tick(instant now)
{
    // The answer handler may send further commands; no target is removed.
    for (auto& [id, to] : targets_)
    {
        replace_timed_out_link(to, now);
        for (const auto& relay : std::exchange(to.opening_, {}))
        {
            if (relay->is_open())
                send_to_relay(to, *relay);
            else if (relay->is_opening())
                to.opening_.push_back(relay);
            else
                --to.relays_pending_;
        }
        if (to.command_since_ != never)
            ask_or_give_up(to, now);
        bool may_be_answered = to.command_since_ != never;
        if (to.report_failure_at_ != never &&
            (!may_be_answered || now >= to.report_failure_at_))
            report_failure(to);
    }
}

void endpoint_commands::ask_or_give_up(target& to, instant now)
{
    bool all_asked = to.relays_asked_ >= relays_.size();
    bool due = to.last_relays_at_ == never
                   ? now - to.command_since_ >= options_.relay_after_ms_
                   : now - to.last_relays_at_ >= options_.relay_step_ms_;
    if (now - to.command_since_ >= options_.timeout_ms_ ||
        (all_asked && to.relays_pending_ == 0))
        to.command_since_ = never;
    else if (due && !all_asked)
        ask_relays(to, now);
}

} // namespace tanagerspan
