#include "testing/fake_fleet.h"

#include <charconv>

namespace tanagerspan
{
namespace
{

constexpr double tick_ms = 20;
constexpr double start_spread_ms = 500;
constexpr double ping_timeout_ms = 500;

} // namespace

fake_fleet::fake_fleet(event_loop& loop, options opts)
    : loop_(loop), options_(opts), nodes_(opts.proxies_)
{
    for (std::size_t i = 0; i < nodes_.size(); ++i)
        start_proxy(i);
}

void fake_fleet::start_proxy(std::size_t proxy)
{
    auto& node = nodes_[proxy];
    ++node.incarnation_;
    node.running_ = true;
    node.revision_ = 0;
    node.highest_version_.clear();
    auto seed = options_.seed_ * 1000 + proxy + node.incarnation_ * 7919;
    node.membership_ = std::make_unique<membership>(
        membership::options{.self_ = {.name_ = name_of(proxy),
                                      .address_ = name_of(proxy),
                                      .data_centre_ = "d",
                                      .incarnation_ = node.incarnation_},
                            .seed_ = seed,
                            .period_ms_ = options_.period_ms_},
        loop_.now());
    node.spread_ = std::make_unique<settings_propagation>(
        settings_propagation::options{.seed_ = seed + 1}, loop_.now());
    // The platform's host list: all names, whether they run or not.
    for (std::size_t i = 0; i < nodes_.size(); ++i)
        node.membership_->on_listed(name_of(i), name_of(i), false, loop_.now());
    loop_.after(loop_.uniform(0, start_spread_ms),
                [this, proxy, incarnation = node.incarnation_]
                {
                    tick(proxy, incarnation);
                });
}

void fake_fleet::kill(std::size_t proxy)
{
    nodes_[proxy].running_ = false;
}

void fake_fleet::restart(std::size_t proxy)
{
    start_proxy(proxy);
}

std::size_t fake_fleet::index_of(const std::string& name) const
{
    std::size_t out = 0;
    std::from_chars(name.data() + 1, name.data() + name.size(), out);
    return out;
}

bool fake_fleet::is_delivered(std::size_t from, std::size_t to)
{
    bool separated = partition_border_ &&
                     (from < *partition_border_) != (to < *partition_border_);
    return nodes_[to].running_ && !separated && !loop_.chance(options_.loss_);
}

void fake_fleet::tick(std::size_t proxy, std::uint64_t incarnation)
{
    auto& node = nodes_[proxy];
    if (!node.running_ || node.incarnation_ != incarnation)
        return;
    if (auto peer = node.membership_->tick(loop_.now()))
        ping(proxy, *peer);
    send_push(proxy);
    auto live = node.membership_->live().size();
    if (node.spread_->should_read(live, loop_.now()))
        read_table(proxy);
    loop_.after(tick_ms,
                [this, proxy, incarnation]
                {
                    tick(proxy, incarnation);
                });
}

fake_fleet::message fake_fleet::receive(std::size_t at, const message& received)
{
    auto& node = nodes_[at];
    ++messages_;
    node.membership_->on_news(received.news_, loop_.now());
    if (!received.branches_.empty())
    {
        node.spread_->on_branches(received.branches_, loop_.now());
    }
    check_versions(at);
    message response{.news_ = node.membership_->take_news(),
                     .digests_ = {},
                     .branches_ = {}};
    if (received.digests_)
        response.branches_ = node.spread_->branches_to_send(*received.digests_);
    return response;
}

void fake_fleet::ping(std::size_t from, const peer_record& to)
{
    auto& node = nodes_[from];
    message request{.news_ = node.membership_->take_news(),
                    .digests_ = node.spread_->tree().digests(),
                    .branches_ = {}};
    std::size_t target = index_of(to.name_);
    auto incarnation = node.incarnation_;
    auto if_running = [this, from, incarnation](auto work)
    {
        if (nodes_[from].running_ && nodes_[from].incarnation_ == incarnation)
            work(nodes_[from]);
    };
    if (!is_delivered(from, target))
    {
        loop_.after(ping_timeout_ms,
                    [this, if_running, name = to.name_]
                    {
                        if_running(
                            [&](fake_fleet::node& sender)
                            {
                                sender.membership_->on_ping_failed(name,
                                                                   loop_.now());
                            });
                    });
        return;
    }
    loop_.after(
        options_.one_way_ms_,
        [this, if_running, target, request, name = to.name_]
        {
            if (!nodes_[target].running_)
                return;
            auto response = receive(target, request);
            loop_.after(
                options_.one_way_ms_,
                [this, if_running, response, name]
                {
                    if_running(
                        [&](fake_fleet::node& sender)
                        {
                            sender.membership_->on_ping_answered(name,
                                                                 loop_.now());
                            sender.spread_->on_peer_answered(loop_.now());
                            receive(index_of(sender.membership_->self().name_),
                                    response);
                        });
                });
        });
}

void fake_fleet::send_push(std::size_t proxy)
{
    auto& node = nodes_[proxy];
    auto live = node.membership_->live();
    std::erase(live, name_of(proxy));
    auto push = node.spread_->take_push(live);
    for (const auto& peer : push.peers_)
    {
        std::size_t target = index_of(peer);
        if (!is_delivered(proxy, target))
            continue;
        message update{
            .news_ = {}, .digests_ = {}, .branches_ = push.branches_};
        loop_.after(options_.one_way_ms_,
                    [this, target, update]
                    {
                        if (nodes_[target].running_)
                            receive(target, update);
                    });
    }
}

void fake_fleet::read_table(std::size_t proxy)
{
    ++table_reads_;
    if (table_down_)
        return;
    auto& node = nodes_[proxy];
    std::vector<settings_branch> branches;
    for (const auto& row : table_.changed_since("", node.revision_))
    {
        node.revision_ = row.revision_;
        branches.push_back(accepted_[row.key_][row.version_]);
    }
    node.spread_->on_table_read(branches, loop_.now());
    check_versions(proxy);
}

settings_branch fake_fleet::accept_change(std::size_t proxy,
                                          const std::string& team)
{
    auto held = table_.find(team);
    auto row = table_.change(
        {.key_ = team, .expected_ = held ? held->version_ : 0, .value_ = "x"});
    settings_branch branch{.team_ = team,
                           .version_ = row->version_,
                           .change_id_ = team + std::to_string(row->version_)};
    accepted_[team][row->version_] = branch;
    nodes_[proxy].spread_->on_branches({branch}, loop_.now());
    check_versions(proxy);
    return branch;
}

void fake_fleet::check_versions(std::size_t proxy)
{
    auto& node = nodes_[proxy];
    for (const auto& [team, branch] : node.spread_->tree().branches())
    {
        auto& highest = node.highest_version_[team];
        reverts_ += branch.version_ < highest ? 1 : 0;
        if (branch.version_ == highest)
            continue;
        highest = branch.version_;
        bool all = true;
        for (const auto& other : nodes_)
        {
            const auto* held = other.spread_->tree().find(team);
            all =
                all && (!other.running_ ||
                        (held != nullptr && held->version_ >= branch.version_));
        }
        if (all)
            in_force_since_.try_emplace({team, branch.version_}, loop_.now());
    }
}

std::optional<instant>
fake_fleet::in_force_since(const settings_branch& branch) const
{
    std::optional<instant> first;
    for (auto at = in_force_since_.lower_bound({branch.team_, branch.version_});
         at != in_force_since_.end() && at->first.first == branch.team_; ++at)
    {
        if (!first || at->second < *first)
            first = at->second;
    }
    return first;
}

} // namespace tanagerspan
