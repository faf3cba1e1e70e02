#include "node/home_link.h"

#include <algorithm>
#include <utility>

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
                                           self->take_frames();
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
                      self->heard_ = monotonic_now();
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
              {"awaited", awaited_.size()},
              {"reason", std::string(name_of(why.code_))},
              {"detail", why.detail_}});
    for (auto& [run, done] : std::exchange(awaited_, {}))
        done(tl::unexpected(why));
}

void home_link::send(frame_type type, std::uint64_t correlation,
                     nlohmann::json body)
{
    stream_->send(encode_frame({type, correlation, std::move(body)}));
}

std::uint64_t home_link::run(const remote_statement& what, outcome_handler done)
{
    std::uint64_t id = next_run_++;
    instant now = monotonic_now();
    awaited_.emplace(id, std::move(done));
    if (asked_ == never)
        asked_ = now;
    send(frame_type::run, id, encode(to_run_request(what, now)));
    return id;
}

void home_link::abandon(std::uint64_t run)
{
    if (awaited_.erase(run) > 0 && is_open())
        send(frame_type::cancel_run, run);
}

void home_link::roll_back(std::uint64_t transaction)
{
    if (is_open())
        send(frame_type::rollback, transaction);
}

void home_link::tick(instant now)
{
    if (is_opening() && now - opening_since_ > open_ms)
        return close({error_code::not_sent, "not open in time"});
    if (!is_open())
        return;
    bool due = asked_ != never && now - asked_ >= probe_after_ms;
    if (due && probed_ == never)
    {
        probed_ = now;
        return send(frame_type::probe, 0);
    }
    bool late = probed_ != never && now - probed_ >= silent_after_ms;
    if (!late || silent_)
        return;
    silent_ = true;
    log_line(log_level::info, "home_silent",
             {{"home", home_.name_},
              {"heard_ms_ago", now - heard_},
              {"awaited", awaited_.size()}});
}

void home_link::take_frames()
{
    auto self = shared_from_this();
    while (!closed_)
    {
        auto got = extract_frame(stream_->input());
        if (!got)
            return close(got.error());
        if (!*got)
            return;
        on_frame(**got);
    }
}

void home_link::on_frame(const peer_frame& frame)
{
    heard_ = monotonic_now();
    probed_ = never;
    silent_ = false;
    asked_ = awaited_.empty() ? never : heard_;
    if (frame.type_ == frame_type::leaving)
    {
        leaving_ = true;
        return;
    }
    if (frame.type_ != frame_type::run_reply)
        return;
    auto answer = decode<run_reply>(frame.body_);
    if (!answer)
        return close(answer.error());
    auto at = awaited_.find(frame.correlation_id_);
    if (at == awaited_.end())
        return; // the run was abandoned
    auto done = std::move(at->second);
    awaited_.erase(at);
    if (awaited_.empty())
        asked_ = never;
    done(from_run_reply(*answer));
}

home_pool::~home_pool()
{
    for (auto& [address, at] : links_)
    {
        if (at.link_)
            at.link_->close({error_code::leaving, "this proxy ends"});
    }
}

std::shared_ptr<home_link> home_pool::link_to(const fleet_host& home,
                                              instant now)
{
    entry& at = links_[home.peers_address_];
    if (at.link_ && at.link_->is_closed())
    {
        if (at.link_->was_open())
            at.pause_ms_ = first_retry_ms;
        at.link_.reset();
        at.retry_at_ = now + at.pause_ms_;
        at.pause_ms_ = std::min(at.pause_ms_ * 2, longest_retry_ms);
    }
    if (!at.link_ && now >= at.retry_at_)
    {
        at.link_ = std::make_shared<home_link>(loop_, home);
        at.link_->open();
    }
    return at.link_;
}

void home_pool::tick(instant now)
{
    for (auto& [address, at] : links_)
    {
        if (at.link_)
            at.link_->tick(now);
    }
}

std::size_t home_pool::open_links() const
{
    std::size_t count = 0;
    for (const auto& [address, at] : links_)
        count += at.link_ && at.link_->is_open() ? 1 : 0;
    return count;
}

} // namespace tanagerspan
