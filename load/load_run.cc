#include "load/load_run.h"

#include <chrono>
#include <iostream>
#include <thread>

#include "transport/monotonic_clock.h"

namespace tanagerspan
{
namespace
{

constexpr std::int64_t call_timeout_ms = 7000;
constexpr std::int64_t us_per_s = 1'000'000;
constexpr std::int64_t retry_pause_ms = 20;
constexpr int audit_attempts = 40;
constexpr std::int64_t audit_pause_ms = 250;

void sleep_ms(std::int64_t ms)
{
    std::this_thread::sleep_for(std::chrono::milliseconds(ms));
}

} // namespace

struct load_run::session
{
    std::mutex mutex_;
    std::string id_;
    std::string token_;
    std::string last_key_;
    int writes_ = 0;
};

load_run::load_run(options opts)
    : options_(std::move(opts)), run_id_("r" + std::to_string(options_.seed_))
{
    for (std::size_t i = 0; i < options_.sessions_; ++i)
    {
        sessions_.emplace_back();
        sessions_.back().id_ = run_id_ + "s" + std::to_string(i);
    }
}

load_run::~load_run() = default;

bool load_run::run()
{
    std::vector<std::thread> workers;
    for (std::size_t i = 0; i < options_.workers_; ++i)
        workers.emplace_back(
            [this, i]
            {
                run_worker(i);
            });
    for (auto& worker : workers)
        worker.join();
    return audit();
}

void load_run::run_worker(std::size_t worker)
{
    using method = void (load_run::*)(fleet_caller&, session&,
                                      const work_share&, std::mt19937_64&);
    constexpr method methods[] = {&load_run::write, &load_run::read_own,
                                  &load_run::read_any, &load_run::list};
    std::mt19937_64 random(options_.seed_ * 1000 + worker);
    fleet_caller caller(options_.proxies_);
    double rate = options_.rate_per_s_ / static_cast<double>(options_.workers_);
    std::exponential_distribution<double> between(rate);
    std::int64_t start_us = monotonic_us();
    std::int64_t end_us = start_us + options_.duration_ms_ * 1000;
    double due_s = between(random);
    while (true)
    {
        std::int64_t due_us =
            start_us + static_cast<std::int64_t>(due_s * us_per_s);
        if (due_us >= end_us)
            return;
        std::int64_t left_us = due_us - monotonic_us();
        if (left_us > 0)
            std::this_thread::sleep_for(std::chrono::microseconds(left_us));
        const auto& share = draw_share(options_.workload_, random);
        // Each session belongs to one worker, so that its statements run one
        // after another.
        auto count = sessions_.size() / options_.workers_;
        auto index = worker + options_.workers_ * (random() % count);
        auto& caller_session = sessions_[index];
        std::lock_guard lock(caller_session.mutex_);
        (this->*methods[static_cast<int>(share.kind_)])(caller, caller_session,
                                                        share, random);
        latencies_.record(options_.workload_.team_, share.class_,
                          monotonic_us() - due_us);
        due_s += between(random);
        if (options_.progress_ && worker == 0)
            std::cerr << "\r" << (due_us - start_us) / us_per_s << " s "
                      << std::flush;
    }
}

void load_run::write(fleet_caller& caller, session& caller_session,
                     const work_share& share, std::mt19937_64& random)
{
    std::string key = "order/" + caller_session.id_ + "/" +
                      std::to_string(caller_session.writes_++);
    statement_request request{
        .service_ = options_.workload_.service_,
        .class_ = share.class_,
        .operations_ = {{"insert", key, history::value_of(key)},
                        {"add", "count/" + caller_session.id_, "1"}},
        .request_id_ = key,
        .token_ = caller_session.token_};
    instant give_up = monotonic_now() + options_.retry_limit_ms_;
    outcome what = outcome::not_run;
    while (true)
    {
        auto got = caller.send(random(), request, call_timeout_ms);
        if (got.outcome_ == outcome::done)
        {
            caller_session.token_ = got.token_;
            caller_session.last_key_ = key;
            history_.on_written(key, outcome::done, monotonic_now());
            return;
        }
        // An unknown outcome stays until an attempt returns done: a later
        // refusal applies to that attempt only.
        if (got.outcome_ == outcome::unknown)
            what = outcome::unknown;
        if (monotonic_now() >= give_up)
            break;
        sleep_ms(retry_pause_ms);
    }
    history_.on_written(key, what, monotonic_now());
}

caller_answer load_run::read(fleet_caller& caller, session& caller_session,
                             const work_share& share, operation op,
                             std::mt19937_64& random)
{
    statement_request request{.service_ = options_.workload_.service_,
                              .class_ = share.class_,
                              .operations_ = {std::move(op)},
                              .token_ = caller_session.token_};
    instant give_up = monotonic_now() + options_.retry_limit_ms_;
    while (true)
    {
        auto got = caller.send(random(), request, call_timeout_ms);
        if (got.outcome_ == outcome::done && !got.results_.empty())
        {
            caller_session.token_ = got.token_;
            return got;
        }
        if (monotonic_now() >= give_up)
            return got;
        sleep_ms(retry_pause_ms);
    }
}

void load_run::read_own(fleet_caller& caller, session& caller_session,
                        const work_share& share, std::mt19937_64& random)
{
    if (caller_session.last_key_.empty())
        return;
    auto got = read(caller, caller_session, share,
                    {"get", caller_session.last_key_, ""}, random);
    if (got.outcome_ != outcome::done)
        return;
    const auto& result = got.results_.front();
    history_.on_read_own(caller_session.last_key_, result.found_,
                         result.value_);
    history_.on_read(false, caller_session.last_key_, "", got.by_replica_,
                     true);
}

void load_run::read_any(fleet_caller& caller, session& caller_session,
                        const work_share& share, std::mt19937_64& random)
{
    auto key = history_.random_acknowledged_key(random);
    if (key.empty())
        return;
    auto got = read(caller, caller_session, share, {"get", key, ""}, random);
    if (got.outcome_ != outcome::done)
        return;
    const auto& result = got.results_.front();
    history_.on_read(result.found_, key, result.value_, got.by_replica_, true);
}

void load_run::list(fleet_caller& caller, session& caller_session,
                    const work_share& share, std::mt19937_64& random)
{
    const auto& other = sessions_[random() % sessions_.size()];
    auto got = read(caller, caller_session, share,
                    {"list", "order/" + other.id_ + "/", ""}, random);
    if (got.outcome_ != outcome::done)
        return;
    const auto& rows = got.results_.front().rows_;
    if (rows.empty())
        history_.on_read(false, "", "", got.by_replica_, true);
    else
        history_.on_read(true, rows[0], rows[1], got.by_replica_, true);
    history_.on_age(got.age_ms_, options_.list_age_ms_);
}

bool load_run::audit()
{
    fleet_caller caller(options_.proxies_);
    bool all = true;
    for (std::size_t proxy = 0; proxy < caller.proxies(); ++proxy)
    {
        // Without class and token the read is served by the primary.
        statement_request request{
            .service_ = options_.workload_.service_,
            .operations_ = {{"list", "order/" + run_id_ + "s", ""},
                            {"list", "count/" + run_id_ + "s", ""}}};
        caller_answer got;
        for (int i = 0; i < audit_attempts; ++i)
        {
            got = caller.send(proxy, request, call_timeout_ms);
            if (got.outcome_ == outcome::done && got.results_.size() == 2)
                break;
            sleep_ms(audit_pause_ms);
        }
        bool answered =
            got.outcome_ == outcome::done && got.results_.size() == 2;
        if (answered)
            history_.audit(got.results_[0].rows_, got.results_[1].rows_);
        all = all && answered;
    }
    return all;
}

} // namespace tanagerspan
