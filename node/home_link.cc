#include "node/home_link.h"

#include <algorithm>
#include <utility>
#include <vector>

#include "transport/json_log.h"
#include "transport/monotonic_clock.h"

namespace tanagerspan
{

home_link::home_link(boost::asio::io_context& loop, fleet_host home)
    : home_(std::move(home)),
      stream_(std::make_shared<byte_stream>(tcp_socket(loop)))
{
}

void home_link::open()
{
    opening_since_ = monotonic_now();
    auto peer = parse_endpoint(home_.peers_address_);
    if (!peer)
        return close(peer.error());
    std::weak_ptr<home_link> weak = weak_from_this();
    byte_stream::handlers handlers{.on_input_ =
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
                                   }};
    stream_->open(*peer, std::move(handlers),
                  [weak](result<void> opened)
                  {
                      auto self = weak.lock();
                      if (!self)
                          return;
                      if (!opened)
                          return self->close(opened.error());
                      self->opened_ = true;
                      self->last_frame_at_ = monotonic_now();
                      for (const auto& [id, watch] : self->pending_watches_)
                          self->send(frame_type::relay_watch, id,
                                     encode(watch.request_));
                  });
}

void home_link::close(const failure& why)
{
    auto self = shared_from_this();
    if (std::exchange(closed_, true))
        return;
    stream_->close();
    log_line(log_level::info, "home_link_ended",
             {{"home", home_.name_},
              {"opened", opened_},
              {"pending_runs", pending_.size()},
              {"reason", std::string(name_of(why.code_))},
              {"detail", why.detail_}});
    for (auto& [run, done] : std::exchange(pending_, {}))
        done(tl::unexpected(why));
    for (auto& [id, done] : std::exchange(pending_commands_, {}))
        done(tl::unexpected(why));
    for (auto& [id, done] : std::exchange(pending_allowances_, {}))
        done(tl::unexpected(why));
    for (auto& [id, watch] : std::exchange(pending_watches_, {}))
        watch.done_(tl::unexpected(why));
}

void home_link::send(frame_type type, std::uint64_t correlation,
                     nlohmann::json body)
{
    stream_->send(encode_frame({type, correlation, std::move(body)}));
}

std::uint64_t home_link::run(const remote_statement& stmt, outcome_handler done)
{
    std::uint64_t id = next_run_++;
    instant now = monotonic_now();
    pending_.emplace(id, std::move(done));
    if (waiting_since_ == never)
        waiting_since_ = now;
    send(frame_type::run, id, encode(to_run_request(stmt, now)));
    return id;
}

void home_link::command(const endpoint_command& request, command_handler done)
{
    std::uint64_t id = next_run_++;
    pending_commands_.emplace(id, std::move(done));
    send(frame_type::command, id, encode(request));
}

void home_link::request_allowance(const allowance_request& request,
                                  allowance_handler done)
{
    std::uint64_t id = next_run_++;
    pending_allowances_.emplace(id, std::move(done));
    send(frame_type::allowance, id, encode(request));
}

void home_link::watch_at_relay(const relay_request& request, relay_handler done)
{
    if (closed_ || leaving_)
        return done(fail(error_code::not_sent, "the relay is leaving"));
    std::uint64_t id = next_run_++;
    instant until = monotonic_now() + (request.wait_ms_ + relay_margin_ms);
    pending_watches_.emplace(id, relay_watch{request, std::move(done), until});
    if (is_open())
        send(frame_type::relay_watch, id, encode(request));
}

void home_link::expire_relay_watches(instant now)
{
    std::vector<relay_handler> expired;
    std::erase_if(pending_watches_,
                  [&](auto& one)
                  {
                      if (now <= one.second.until_)
                          return false;
                      expired.push_back(std::move(one.second.done_));
                      return true;
                  });
    for (const auto& done : expired)
        done(fail(error_code::lost, "no reply of the relay in time"));
}

void home_link::on_relay_reply(const peer_frame& frame)
{
    auto reply = decode<relay_reply>(frame.body_);
    if (!reply)
        return close(reply.error());
    auto found = pending_watches_.extract(frame.correlation_id_);
    if (!found.empty())
        found.mapped().done_(std::move(*reply));
}

void home_link::abandon(std::uint64_t run)
{
    if (pending_.erase(run) > 0 && is_open())
        send(frame_type::cancel_run, run);
}

void home_link::roll_back(std::uint64_t transaction)
{
    if (is_open())
        send(frame_type::rollback, transaction);
}

void home_link::tick(instant now)
{
    if (is_opening() && now - opening_since_ > open_timeout_ms)
        return close({error_code::not_sent, "not opened in time"});
    expire_relay_watches(now);
    if (!is_open())
        return;
    bool due =
        waiting_since_ != never && now - waiting_since_ >= probe_after_ms;
    if (due && probe_sent_at_ == never)
    {
        probe_sent_at_ = now;
        return send(frame_type::probe, 0);
    }
    bool late =
        probe_sent_at_ != never && now - probe_sent_at_ >= probe_timeout_ms;
    if (!late || silent_)
        return;
    silent_ = true;
    log_line(log_level::info, "home_silent",
             {{"home", home_.name_},
              {"heard_ms_ago", now - last_frame_at_},
              {"pending_runs", pending_.size()}});
}

void home_link::process_frames()
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

void home_link::on_frame(const peer_frame& frame)
{
    last_frame_at_ = monotonic_now();
    probe_sent_at_ = never;
    silent_ = false;
    waiting_since_ = pending_.empty() ? never : last_frame_at_;
    if (frame.type_ == frame_type::leaving)
    {
        leaving_ = true;
        return;
    }
    if (frame.type_ == frame_type::run_reply)
        return on_run_reply(frame);
    if (frame.type_ == frame_type::relay_watch_reply)
        return on_relay_reply(frame);
    if (frame.type_ == frame_type::command_reply)
        return on_command_reply(frame);
    if (frame.type_ == frame_type::allowance_reply)
        on_allowance_reply(frame);
}

void home_link::on_allowance_reply(const peer_frame& frame)
{
    auto answer = decode<allowance_reply>(frame.body_);
    if (!answer)
        return close(answer.error());
    auto found = pending_allowances_.find(frame.correlation_id_);
    if (found == pending_allowances_.end())
        return;
    auto done = std::move(found->second);
    pending_allowances_.erase(found);
    done(*answer);
}

void home_link::on_command_reply(const peer_frame& frame)
{
    auto answer = decode<endpoint_command_reply>(frame.body_);
    if (!answer)
        return close(answer.error());
    auto found = pending_commands_.find(frame.correlation_id_);
    if (found == pending_commands_.end())
        return;
    auto done = std::move(found->second);
    pending_commands_.erase(found);
    done(*answer);
}

void home_link::on_run_reply(const peer_frame& frame)
{
    auto answer = decode<run_reply>(frame.body_);
    if (!answer)
        return close(answer.error());
    auto found = pending_.find(frame.correlation_id_);
    if (found == pending_.end())
        return; // the run was abandoned
    auto done = std::move(found->second);
    pending_.erase(found);
    if (pending_.empty())
        waiting_since_ = never;
    done(from_run_reply(*answer));
}

home_pool::~home_pool()
{
    close_all();
}

void home_pool::close_all()
{
    for (auto& [address, link_entry] : std::exchange(links_, {}))
    {
        if (link_entry.link_)
            link_entry.link_->close(
                {error_code::leaving, "the link is no longer used"});
    }
}

std::shared_ptr<home_link> home_pool::link_to(const fleet_host& home,
                                              instant now)
{
    entry& link_entry = links_[home.peers_address_];
    if (link_entry.link_ && link_entry.link_->is_closed())
    {
        if (link_entry.link_->was_open())
            link_entry.pause_ms_ = min_pause_ms;
        link_entry.link_.reset();
        link_entry.retry_at_ = now + link_entry.pause_ms_;
        link_entry.pause_ms_ = std::min(link_entry.pause_ms_ * 2, max_pause_ms);
    }
    if (!link_entry.link_ && now >= link_entry.retry_at_)
    {
        link_entry.link_ = std::make_shared<home_link>(loop_, home);
        link_entry.link_->open();
    }
    return link_entry.link_;
}

void home_pool::tick(instant now)
{
    for (auto& [address, link_entry] : links_)
    {
        if (link_entry.link_)
            link_entry.link_->tick(now);
    }
}

std::size_t home_pool::open_links() const
{
    std::size_t count = 0;
    for (const auto& [address, link_entry] : links_)
        count += link_entry.link_ && link_entry.link_->is_open() ? 1 : 0;
    return count;
}

} // namespace tanagerspan
