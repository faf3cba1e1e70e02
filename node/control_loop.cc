#include "node/control_loop.h"

#include <algorithm>
#include <chrono>
#include <future>

#include <Poco/Timestamp.h>
#include <xxhash.h>

#include "coordination/settings_change.h"
#include "transport/endpoint_client.h"
#include "transport/json_log.h"
#include "transport/monotonic_clock.h"
#include "transport/platform_client.h"

namespace tanagerspan
{
namespace
{

constexpr std::int64_t tick_ms = 20;
constexpr std::int64_t gossip_timeout_ms = 500;
constexpr std::int64_t platform_timeout_ms = 2000;
constexpr std::size_t max_waiting_gossip_calls = 4;

peer_record self_record(const proxy_settings& settings)
{
    // The incarnation only has to differ between starts of the process, so
    // the wall clock is good enough. `membership` corrects an incarnation that
    // is too low because the clock was set back.
    auto started =
        static_cast<std::uint64_t>(Poco::Timestamp().epochMicroseconds());
    return {.name_ = settings.name_,
            .address_ = settings.peers_address_,
            .data_centre_ = settings.data_centre_,
            .incarnation_ = started};
}

std::uint64_t seed_of(const proxy_settings& settings)
{
    return XXH3_64bits(settings.name_.data(), settings.name_.size());
}

} // namespace

control_loop::control_loop(const proxy_settings& settings, peer_client& client,
                           decision_journal& journal)
    : settings_(settings), peer_client_(client), journal_(journal),
      membership_({.self_ = self_record(settings),
                   .seed_ = seed_of(settings),
                   .period_ms_ = settings.gossip_period_ms_},
                  monotonic_now()),
      spread_({.seed_ = seed_of(settings) + 1}, monotonic_now()),
      gossip_executor_(std::make_unique<serial_executor>()),
      push_executor_(std::make_unique<serial_executor>()),
      platform_executor_(std::make_unique<serial_executor>()),
      disposal_executor_(std::make_unique<serial_executor>()),
      platform_(std::make_unique<http_connection>(settings.platform_address_)),
      snapshot_(std::make_shared<const fleet_snapshot>())
{
}

control_loop::~control_loop()
{
    stop();
}

void control_loop::start()
{
    thread_ = std::thread(
        [this]
        {
            run();
        });
}

void control_loop::stop()
{
    {
        std::lock_guard lock(mutex_);
        stopping_ = true;
    }
    wake_up_.notify_all();
    if (thread_.joinable())
        thread_.join();
    gossip_executor_.reset();
    push_executor_.reset();
    platform_executor_.reset();
    watches_.clear();
    disposal_executor_.reset();
}

void control_loop::post(event work)
{
    {
        std::lock_guard lock(mutex_);
        pending_events_.push_back(std::move(work));
    }
    wake_up_.notify_one();
}

void control_loop::call(const event& work)
{
    std::promise<void> done;
    post(
        [&](instant now)
        {
            work(now);
            done.set_value();
        });
    done.get_future().wait();
}

std::shared_ptr<const fleet_snapshot> control_loop::snapshot() const
{
    return std::atomic_load(&snapshot_);
}

void control_loop::run()
{
    while (true)
    {
        std::deque<event> batch;
        {
            std::unique_lock lock(mutex_);
            wake_up_.wait_for(lock, std::chrono::milliseconds(tick_ms),
                              [this]
                              {
                                  return stopping_ || !pending_events_.empty();
                              });
            if (stopping_)
                return;
            batch.swap(pending_events_);
        }
        for (auto& work : batch)
            work(monotonic_now());
        tick(monotonic_now());
    }
}

void control_loop::tick(instant now)
{
    gossip(now);
    push_settings();
    read_platform(now);
    bool changed = membership_.take_changed();
    changed = spread_.take_changed() || changed;
    if (changed || spread_.ready() != snapshot()->ready_)
        reconcile(now);
    for (auto& [service, watch] : watches_)
        watch->tick(now);
}

gossip_message control_loop::next_gossip()
{
    const auto& digests = spread_.tree().digests();
    return {.peer_records_ = membership_.take_news(),
            .digests_ = {digests.begin(), digests.end()},
            .branches_ = {}};
}

void control_loop::gossip(instant now)
{
    auto peer = membership_.tick(now);
    if (!peer || gossip_executor_->waiting() > max_waiting_gossip_calls)
        return;
    gossip_executor_->post(
        [this, peer = *peer, message = next_gossip()]
        {
            auto answer =
                peer_client_.exchange(peer.address_, frame_type::gossip,
                                      encode(message), gossip_timeout_ms);
            auto decoded =
                answer ? decode<gossip_message>(*answer)
                       : result<gossip_message>(tl::unexpected(answer.error()));
            post(
                [this, peer, decoded](instant answered_at)
                {
                    if (!decoded)
                    {
                        membership_.on_ping_failed(peer.name_, answered_at);
                        return;
                    }
                    membership_.on_ping_answered(peer.name_, answered_at);
                    spread_.on_peer_answered(answered_at);
                    apply_gossip(*decoded, answered_at);
                });
        });
}

void control_loop::apply_gossip(const gossip_message& message, instant now)
{
    membership_.on_news(message.peer_records_, now);
    if (!message.branches_.empty())
        spread_.on_branches(message.branches_, now);
}

nlohmann::json control_loop::on_gossip(const nlohmann::json& body)
{
    auto message = decode<gossip_message>(body);
    if (!message)
        return encode(
            failure_record{std::string(name_of(message.error().code_)),
                           message.error().detail_});
    gossip_message answer;
    call(
        [&](instant now)
        {
            apply_gossip(*message, now);
            answer = next_gossip();
            settings_tree::digest peer_digests{};
            if (message->digests_.size() == peer_digests.size())
            {
                std::copy(message->digests_.begin(), message->digests_.end(),
                          peer_digests.begin());
                answer.branches_ = spread_.branches_to_send(peer_digests);
            }
        });
    return encode(answer);
}

void control_loop::push_settings()
{
    auto live = membership_.live();
    std::erase(live, settings_.name_);
    auto push = spread_.take_push(live);
    for (const auto& peer : push.peers_)
    {
        auto at = membership_.records().find(peer);
        if (at == membership_.records().end())
            continue;
        gossip_message message{.peer_records_ = {membership_.self()},
                               .digests_ = {},
                               .branches_ = push.branches_};
        push_executor_->post(
            [this, address = at->second.address_, body = encode(message)]
            {
                // A lost push needs no retry: the digests in later gossip
                // messages show the difference.
                static_cast<void>(peer_client_.exchange(
                    address, frame_type::gossip, body, gossip_timeout_ms));
            });
    }
}

void control_loop::read_platform(instant now)
{
    auto live = std::max<std::size_t>(membership_.live().size(), 1);
    if (platform_busy_ || !spread_.should_read(live, now))
        return;
    platform_busy_ = true;
    platform_executor_->post(
        [this]
        {
            platform_client platform(*platform_, platform_timeout_ms);
            auto rows = platform.changed_since("settings/", table_revision_);
            auto hosts = platform.hosts();
            std::vector<settings_branch> branches;
            for (const auto& row :
                 rows.value_or(std::vector<platform_table_row>{}))
            {
                table_revision_ = std::max(table_revision_, row.revision_);
                auto stored = decode_text<settings_row>(row.value_);
                if (stored)
                    branches.push_back(stored->branch_);
                else
                    log_line(log_level::error, "bad_settings_row",
                             {{"key", row.key_},
                              {"detail", stored.error().detail_}});
            }
            platform_busy_ = false;
            post(
                [this, branches, table_read = rows.has_value(),
                 hosts](instant answered_at)
                {
                    if (table_read)
                        spread_.on_table_read(branches, answered_at);
                    if (!hosts)
                        return;
                    for (const auto& host : *hosts)
                        membership_.on_listed(host.name_, host.address_,
                                              host.leaving_, answered_at);
                });
        });
}

// Updates routes and watches after a change of settings or membership, and
// publishes a new snapshot.
void control_loop::reconcile(instant now)
{
    fleet_snapshot next;
    homes_.set_live(membership_.live());
    next.ready_ = spread_.ready();
    for (const auto& [name, record] : membership_.records())
        next.peer_addresses_[name] = record.address_;
    for (const auto& [team, branch] : spread_.tree().branches())
    {
        if (branch.withdrawn_)
            continue;
        for (const auto& [name, settings] : branch.plan_.services_)
            update_route(std::string(team).append("/").append(name), team,
                         settings, branch.version_, next, now);
    }
    homes_.forget_unused();
    std::vector<std::string> removed;
    for (const auto& [service, watch] : watches_)
    {
        auto at = next.routes_.find(service);
        if (at == next.routes_.end() || !at->second.home_)
            removed.push_back(service);
    }
    for (const auto& service : removed)
        remove_watch(service);
    std::atomic_store(&snapshot_,
                      std::make_shared<const fleet_snapshot>(std::move(next)));
}

void control_loop::update_route(const std::string& service,
                                const std::string& team,
                                const service_settings& settings,
                                std::uint64_t version, fleet_snapshot& next,
                                instant now)
{
    service_route route{.service_ = service,
                        .team_ = team,
                        .settings_ = settings,
                        .version_ = version,
                        .home_names_ = {},
                        .home_addresses_ = {},
                        .home_ = nullptr};
    // A home needs at least one slot, so there are no more homes than slots.
    auto home_count =
        static_cast<std::size_t>(std::min(settings.homes_, settings.slots_));
    route.home_names_ = homes_.homes_of(service, home_count);
    for (std::size_t rank = 0; rank < route.home_names_.size(); ++rank)
    {
        const auto& name = route.home_names_[rank];
        auto peer = membership_.records().find(name);
        route.home_addresses_.push_back(
            peer == membership_.records().end() ? "" : peer->second.address_);
        if (name != settings_.name_)
            continue;
        auto at = watches_.find(service);
        if (at != watches_.end() &&
            (at->second->settings().settings_ != settings ||
             at->second->settings().rank_ != rank))
        {
            remove_watch(service);
            at = watches_.end();
        }
        if (at == watches_.end())
        {
            const auto* branch = spread_.tree().find(team);
            group_watch::options opts{
                .service_ = service,
                .settings_ = settings,
                .claimant_ = settings_.name_ + "#" +
                             std::to_string(membership_.self().incarnation_) +
                             "." + std::to_string(now.ms_),
                .rank_ = rank,
                .home_count_ = home_count,
                .max_waiting_ =
                    static_cast<std::size_t>(branch->plan_.max_waiting_),
                .seed_ = seed_of(settings_) + rank,
                .probe_wait_ms_ = settings_.probe_wait_ms_,
                .silence_ms_ = settings_.silence_ms_};
            journal_.add({.what_ = "home",
                          .subject_ = service,
                          .cause_ = "rank " + std::to_string(rank) + " of " +
                                    std::to_string(home_count),
                          .term_or_version_ = version,
                          .correlation_ = branch->change_id_});
            at = watches_
                     .emplace(service, std::make_unique<group_watch>(
                                           std::move(opts), journal_,
                                           [this](event work)
                                           {
                                               post(std::move(work));
                                           },
                                           now))
                     .first;
        }
        route.home_ = at->second->home();
    }
    next.routes_[service] = std::move(route);
}

// Destroying a watch waits for its calls in flight, so it happens on the
// disposal executor instead of the control thread.
void control_loop::remove_watch(const std::string& service)
{
    auto at = watches_.find(service);
    if (at == watches_.end())
        return;
    std::shared_ptr<group_watch> removed = std::move(at->second);
    removed->ignore_answers();
    watches_.erase(at);
    disposal_executor_->post(
        [removed = std::move(removed)]() mutable
        {
            removed.reset();
        });
}

} // namespace tanagerspan
