// Measures the cost of one proxy's decisions for the input of a fleet of the
// given size. docs/CAPACITY.md has the results.

#include <benchmark/benchmark.h>

#include "coordination/group_monitor.h"
#include "coordination/home_ranking.h"
#include "coordination/membership.h"
#include "coordination/settings_propagation.h"

namespace tanagerspan
{
namespace
{

constexpr std::int64_t period_ms = 1000;

std::vector<std::string> proxy_names(std::int64_t count)
{
    std::vector<std::string> out;
    for (std::int64_t i = 0; i < count; ++i)
        out.push_back("proxy-" + std::to_string(100'000 + i));
    return out;
}

membership fleet_of(std::int64_t count)
{
    membership out({.self_ = {.name_ = "self", .address_ = "10.0.0.1:7000"},
                    .period_ms_ = period_ms},
                   instant{0});
    for (const auto& name : proxy_names(count))
        out.on_listed(name, "10.0.0.2:7000", false, instant{0});
    return out;
}

// One second of membership: a ping, the news sent with it, and eight received
// records.
void membership_second(benchmark::State& state)
{
    auto peers = fleet_of(state.range(0));
    auto names = proxy_names(state.range(0));
    instant now{0};
    std::uint64_t incarnation = 1;
    std::size_t bytes = 0;
    for (auto _ : state)
    {
        now = now + period_ms;
        benchmark::DoNotOptimize(peers.tick(now));
        auto news = peers.take_news();
        bytes = encode(news).dump().size();
        std::vector<peer_record> received;
        for (std::size_t i = 0; i < 8; ++i)
            received.push_back(
                {.name_ = names[(incarnation + i * 7) % names.size()],
                 .address_ = "10.0.0.2:7000",
                 .incarnation_ = ++incarnation});
        peers.on_news(received, now);
    }
    state.counters["news_bytes"] = static_cast<double>(bytes);
}
BENCHMARK(membership_second)->Arg(400)->Arg(1600)->Arg(3200)->Arg(6400);

// Builds the sorted list of live proxies, as after each change.
void live_list(benchmark::State& state)
{
    auto peers = fleet_of(state.range(0));
    for (auto _ : state)
        benchmark::DoNotOptimize(peers.live());
}
BENCHMARK(live_list)->Arg(400)->Arg(1600)->Arg(3200)->Arg(6400);

// Ranks all proxies for one service.
void rank_one_service(benchmark::State& state)
{
    auto names = proxy_names(state.range(0));
    std::uint64_t service = 0;
    for (auto _ : state)
        benchmark::DoNotOptimize(
            rank_homes("team/" + std::to_string(++service), names, 2));
}
BENCHMARK(rank_one_service)->Arg(400)->Arg(1600)->Arg(3200)->Arg(6400);

// One proxy joins or leaves, with as many services as proxies.
void one_proxy_changes(benchmark::State& state)
{
    auto names = proxy_names(state.range(0));
    auto fewer = names;
    fewer.erase(fewer.begin() + 7);
    ranking_cache table;
    table.set_live(names);
    for (std::int64_t i = 0; i < state.range(0); ++i)
        table.homes_of("team/" + std::to_string(i), 2);
    bool out = false;
    for (auto _ : state)
        table.set_live((out = !out) ? fewer : names);
}
BENCHMARK(one_proxy_changes)->Arg(400)->Arg(1600)->Arg(3200)->Arg(6400);

// Processes one status answer of a member and sends the next request.
void status_answer(benchmark::State& state)
{
    group_monitor monitor({.service_ = "t/s",
                           .members_ = {{"a", ""}, {"b", ""}, {"c", ""}},
                           .claimant_ = "p"},
                          instant{0});
    instant now{0};
    std::uint64_t index = 1;
    for (auto _ : state)
    {
        now = now + 1;
        for (const auto& action : monitor.tick(now))
        {
            const auto* ask = std::get_if<group_monitor::probe>(&action);
            if (ask == nullptr)
                continue;
            member_status status{.promised_ = 1,
                                 .position_ = {1, ++index},
                                 .leading_ = ask->member_ == 0};
            monitor.on_status(ask->member_, ask->asked_, status, now);
        }
        benchmark::DoNotOptimize(monitor.take_changed());
    }
}
BENCHMARK(status_answer);

// Merges one settings change into a tree with the given number of branches.
void settings_change_taken(benchmark::State& state)
{
    settings_propagation spread({}, instant{0});
    service_settings service{.members_ = {{"a", "10.0.0.1:1"},
                                          {"b", "10.0.0.2:1"},
                                          {"c", "10.0.0.3:1"}}};
    settings_branch branch{.plan_ = {.services_ = {{"s", service}}}};
    for (std::int64_t i = 0; i < state.range(0); ++i)
    {
        branch.team_ = "team-" + std::to_string(i);
        branch.version_ = 1;
        spread.on_branches({branch}, instant{0});
        spread.take_push({"p"});
    }
    std::uint64_t version = 1;
    for (auto _ : state)
    {
        branch.version_ = ++version;
        spread.on_branches({branch}, instant{0});
        benchmark::DoNotOptimize(spread.take_push({"p"}));
    }
    state.counters["branch_bytes"] =
        static_cast<double>(encode(branch).dump().size());
}
BENCHMARK(settings_change_taken)->Arg(400)->Arg(1600)->Arg(3200)->Arg(6400);

} // namespace
} // namespace tanagerspan
