#include "coordination/membership.h"

#include <algorithm>
#include <bit>
#include <tuple>

namespace tanagerspan
{
namespace
{

// A record is sent this many times for each doubling of the fleet's size, so
// that it reaches every proxy with high probability.
constexpr int sends_per_doubling = 3;

// Dead members are removed after this time. Until then suspect and dead members
// are still pinged, so that the sides of a partition find each other again.
constexpr std::int64_t forget_dead_ms = 600'000;

auto precedence(const peer_record& record)
{
    return std::tuple{record.incarnation_, record.refutations_, record.state_};
}

} // namespace

membership::membership(options opts, instant now)
    : options_(std::move(opts)), random_(options_.seed_), next_ping_(now)
{
    queue_news(options_.self_);
}

std::optional<peer_record> membership::tick(instant now)
{
    for (auto at = suspected_since_.begin(); at != suspected_since_.end();)
    {
        auto record = records_.find(at->first);
        auto since = now - at->second;
        if (record != records_.end() && record->second.state_ == suspect &&
            since >= options_.suspect_ms_)
        {
            record->second.state_ = dead;
            changed_ = true;
            queue_news(record->second);
        }
        if (since >= forget_dead_ms)
        {
            if (record != records_.end() && record->second.state_ == dead)
                records_.erase(record);
            at = suspected_since_.erase(at);
            continue;
        }
        ++at;
    }
    if (now < next_ping_)
        return std::nullopt;
    next_ping_ = now + options_.period_ms_;
    while (true)
    {
        if (ping_round_.empty())
        {
            for (const auto& [name, record] : records_)
                ping_round_.push_back(name);
            if (ping_round_.empty())
                return std::nullopt;
            std::shuffle(ping_round_.begin(), ping_round_.end(), random_);
        }
        auto at = records_.find(ping_round_.back());
        ping_round_.pop_back();
        if (at != records_.end())
            return at->second;
    }
}

std::vector<peer_record> membership::take_news()
{
    std::vector<peer_record> out;
    for (auto at = sends_left_.begin();
         at != sends_left_.end() && out.size() < options_.max_news_;)
    {
        if (at->first == options_.self_.name_)
            out.push_back(options_.self_);
        else if (auto found = records_.find(at->first); found != records_.end())
            out.push_back(found->second);
        at = --at->second <= 0 ? sends_left_.erase(at) : std::next(at);
    }
    // Every message carries at least the sender's own record.
    if (std::find(out.begin(), out.end(), options_.self_) == out.end())
        out.push_back(options_.self_);
    return out;
}

void membership::queue_news(const peer_record& record)
{
    auto doublings = std::bit_width(records_.size() + 1);
    sends_left_[record.name_] =
        sends_per_doubling * static_cast<int>(doublings);
}

void membership::refute(const peer_record& received)
{
    auto& self = options_.self_;
    if (precedence(received) <= precedence(self))
        return;
    if (received.incarnation_ > self.incarnation_)
        self.incarnation_ = received.incarnation_ + 1;
    else
        self.refutations_ = received.refutations_ + 1;
    queue_news(self);
}

void membership::on_news(const std::vector<peer_record>& news, instant now)
{
    for (const auto& received : news)
    {
        if (received.name_ == options_.self_.name_)
        {
            refute(received);
            continue;
        }
        auto at = records_.find(received.name_);
        if (at != records_.end() &&
            precedence(received) <= precedence(at->second))
            continue;
        records_[received.name_] = received;
        if (received.state_ >= suspect)
            suspected_since_[received.name_] = now;
        else
            suspected_since_.erase(received.name_);
        changed_ = true;
        queue_news(received);
    }
}

void membership::on_ping_answered(const std::string& peer, instant now)
{
    // The answer carried the peer's own record, which refutes every suspicion
    // that the peer knows about. If the peer is still suspect or dead here, it
    // does not know about that news. Queueing the news again sends it to the
    // peer, which can then refute it.
    auto at = records_.find(peer);
    if (at != records_.end() && at->second.state_ >= suspect)
        queue_news(at->second);
    static_cast<void>(now);
}

void membership::on_ping_failed(const std::string& peer, instant now)
{
    auto at = records_.find(peer);
    if (at == records_.end() || at->second.state_ >= suspect)
        return;
    at->second.state_ = suspect;
    suspected_since_[peer] = now;
    changed_ = true;
    queue_news(at->second);
}

void membership::on_listed(const std::string& name, const std::string& address,
                           bool leaving, instant now)
{
    if (name == options_.self_.name_)
        return;
    auto at = records_.find(name);
    if (at == records_.end())
    {
        records_[name] = {.name_ = name,
                          .address_ = address,
                          .data_centre_ = {},
                          .state_ = leaving ? draining : alive};
        changed_ = true;
        return;
    }
    if (leaving && at->second.state_ == alive)
    {
        at->second.state_ = draining;
        changed_ = true;
        queue_news(at->second);
    }
    static_cast<void>(now);
}

void membership::start_draining()
{
    options_.self_.state_ = draining;
    changed_ = true;
    queue_news(options_.self_);
}

std::vector<std::string> membership::live() const
{
    std::vector<std::string> out;
    if (options_.self_.state_ == alive)
        out.push_back(options_.self_.name_);
    for (const auto& [name, record] : records_)
    {
        // A suspect can be a home until it is dead, so that one lost ping
        // does not move connections.
        if (record.state_ == alive || record.state_ == suspect)
            out.push_back(name);
    }
    std::sort(out.begin(), out.end());
    return out;
}

} // namespace tanagerspan
