#include "testing/scenario.h"

#include <algorithm>
#include <charconv>

#include "testing/fake_proxy.h"

namespace tanagerspan
{
namespace
{

constexpr std::int64_t warm_up_ms = 3000;
constexpr std::int64_t settle_ms = 9000;
constexpr std::int64_t deadline_ms = 4000;
constexpr std::int64_t attempt_timeout_ms = 1500;
constexpr std::int64_t write_give_up_ms = 8000;
constexpr double leaving_limit_ms = 5000;

struct write_record
{
    outcome reported_ = outcome::unknown;
    instant acknowledged_ = never;
};

// A caller's session: its token and the key of its latest acknowledged write.
struct session
{
    std::string name_;
    log_position token_;
    bool has_token_ = false;
    std::string last_key_;
    int next_ = 0;
};

class scenario_run
{
public:
    explicit scenario_run(const scenario_options& opts)
        : options_(opts), loop_(opts.seed_),
          group_(loop_, network_of(opts.size_), opts.disabled_, opts.lag_ms_)
    {
        for (std::size_t i = 0; i < opts.proxies_; ++i)
            proxies_.push_back(std::make_unique<fake_proxy>(
                loop_, group_, "p" + std::to_string(i), i,
                opts.seed_ * 100 + i));
        for (std::size_t i = 0; i < opts.callers_; ++i)
            sessions_.push_back({.name_ = "s" + std::to_string(i),
                                 .token_ = {},
                                 .last_key_ = {}});
    }

    scenario_result run()
    {
        group_.start();
        for (auto& proxy : proxies_)
            proxy->start();
        for (auto& one : sessions_)
            loop_.after(loop_.uniform(0, 100),
                        [this, &one]
                        {
                            run_next_statement(one);
                        });
        for (const auto& failure : options_.failures_)
            loop_.after(static_cast<double>(warm_up_ms) +
                            loop_.uniform(0, 1000),
                        [this, failure]
                        {
                            inject_failure(failure);
                        });
        loop_.run_until(instant{options_.length_ms_});
        stopping_ = true;
        heal();
        loop_.run_until(instant{options_.length_ms_ + settle_ms});
        check_history();
        return std::move(result_);
    }

private:
    static network_options network_of(const std::string& size)
    {
        return size == "lineas_andinas"
                   ? network_options{.one_way_ms_ = 0.5, .jitter_ms_ = 0.3}
                   : network_options{.one_way_ms_ = 1.0, .jitter_ms_ = 0.5};
    }

    void run_next_statement(session& caller);
    void write(session& caller);
    void attempt_write(session& caller, const std::string& key, bool with_id,
                       instant give_up, const std::shared_ptr<bool>& ended);
    void read(session& caller);
    void inject_failure(const std::string& failure);
    void inject_other_failure(const std::string& failure);
    void heal();
    void check_history();
    void on_done(session& caller, const std::string& key,
                 const statement_answer& got);
    void restore_after(double ms, std::function<void()> restore)
    {
        loop_.after(ms, std::move(restore));
    }
    fake_proxy* random_proxy(bool writes);
    std::size_t current_primary()
    {
        return group_.primary().value_or(0);
    }
    std::vector<std::size_t> current_replicas();

    scenario_options options_;
    event_loop loop_;
    fake_group group_;
    std::vector<std::unique_ptr<fake_proxy>> proxies_;
    std::vector<session> sessions_;
    std::map<std::string, write_record> writes_;
    std::vector<std::pair<instant, std::string>> acknowledged_;
    std::vector<instant> acknowledged_at_;
    scenario_result result_;
    instant failed_at_ = never;
    bool stopping_ = false;
    bool first_proxy_reads_only_ = false; // no writes via the first proxy
};

fake_proxy* scenario_run::random_proxy(bool writes)
{
    std::vector<fake_proxy*> up;
    for (auto& proxy : proxies_)
    {
        bool excluded =
            writes && first_proxy_reads_only_ && proxy == proxies_.front();
        if (proxy->is_running() && !excluded)
            up.push_back(proxy.get());
    }
    return up.empty() ? nullptr : up[loop_.pick(up.size())];
}

std::vector<std::size_t> scenario_run::current_replicas()
{
    std::vector<std::size_t> out;
    for (std::size_t i = 0; i < fake_group::members; ++i)
    {
        if (i != current_primary())
            out.push_back(i);
    }
    return out;
}

void scenario_run::run_next_statement(session& caller)
{
    if (stopping_)
        return;
    constexpr double write_share = 0.4;
    if (caller.last_key_.empty() || loop_.chance(write_share))
        write(caller);
    else
        read(caller);
}

void scenario_run::write(session& caller)
{
    std::string key = caller.name_ + "/" + std::to_string(caller.next_++);
    constexpr double with_id_share = 0.75;
    writes_[key] = {};
    attempt_write(caller, key, loop_.chance(with_id_share),
                  loop_.now() + write_give_up_ms,
                  std::make_shared<bool>(false));
}

// Sends one attempt through any proxy. With a request id, the caller times out
// after `attempt_timeout_ms` and retries through another proxy, possibly while
// the first attempt is still in flight.
void scenario_run::attempt_write(session& caller, const std::string& key,
                                 bool with_id, instant give_up,
                                 const std::shared_ptr<bool>& ended)
{
    auto settled = std::make_shared<bool>(false);
    auto continue_session = [this, &caller]
    {
        loop_.after(loop_.uniform(5, 60),
                    [this, &caller]
                    {
                        run_next_statement(caller);
                    });
    };
    auto retry = [=, this, &caller]
    {
        if (*ended || std::exchange(*settled, true))
            return;
        if (!with_id || stopping_ || loop_.now() >= give_up)
        {
            *ended = true;
            continue_session();
            return;
        }
        loop_.after(loop_.uniform(5, 40),
                    [=, this, &caller]
                    {
                        attempt_write(caller, key, with_id, give_up, ended);
                    });
    };
    loop_.after(
        static_cast<double>(with_id ? attempt_timeout_ms : deadline_ms + 500),
        retry);
    fake_proxy* proxy = random_proxy(true);
    if (proxy == nullptr)
        return;
    loop_.after(group_.delay(),
                [=, this, &caller]
                {
                    proxy->write(
                        {{"add", key, "1"}}, with_id ? key : "", deadline_ms,
                        [=, this, &caller](const statement_answer& got)
                        {
                            auto& record = writes_[key];
                            if (got.outcome_ == outcome::done)
                            {
                                on_done(caller, key, got);
                                if (!std::exchange(*ended, true))
                                    continue_session();
                                return;
                            }
                            // A refusal is final only for a write that was
                            // sent once: it says nothing of other attempts.
                            if (got.outcome_ == outcome::not_run && !with_id &&
                                record.reported_ != outcome::done)
                                record.reported_ = outcome::not_run;
                            retry();
                        });
                });
}

void scenario_run::on_done(session& caller, const std::string& key,
                           const statement_answer& got)
{
    auto& record = writes_[key];
    if (record.reported_ != outcome::done)
    {
        acknowledged_.emplace_back(loop_.now(), key);
        acknowledged_at_.push_back(loop_.now());
    }
    record.reported_ = outcome::done;
    caller.last_key_ = key;
    caller.token_ = std::max(caller.token_, got.position_);
    caller.has_token_ = true;
    // Ground truth: did a later term have a primary before this commit?
    for (const auto& [term, since] : group_.term_started_at())
    {
        if (term <= got.position_.term_ || since >= loop_.now())
            continue;
        for (std::size_t i = 0; i < fake_group::members; ++i)
        {
            const auto& log = group_.state(i).log();
            bool holds =
                log.size() >= got.position_.index_ &&
                log[got.position_.index_ - 1].term_ == got.position_.term_;
            if (holds && group_.state(i).position().term_ >= term)
                return; // Part of the later term's log: committed before it.
        }
        ++result_.ack_by_replaced_;
        loop_.trace("BROKEN: " + key + " acknowledged in term " +
                    std::to_string(got.position_.term_) + ", but term " +
                    std::to_string(term) + " led since " +
                    std::to_string(since.ms_));
        return;
    }
}

void scenario_run::read(session& caller)
{
    fake_proxy* proxy = random_proxy(false);
    if (proxy == nullptr)
        return;
    constexpr double own_share = 0.4;
    constexpr double fresh_share = 0.2;
    constexpr std::int64_t age_ms = 500;
    bool own = loop_.chance(own_share);
    bool fresh = !own && loop_.chance(fresh_share);
    bool aged = !own && !fresh && loop_.chance(0.5);
    std::string key =
        own ? caller.last_key_
            : acknowledged_[loop_.pick(acknowledged_.size())].second;
    instant began = loop_.now();
    instant key_since = never;
    for (const auto& [at, acked] : acknowledged_)
    {
        if (acked == key)
            key_since = at;
    }
    read_statement::options opts{.started_ = began,
                                 .deadline_ = began + deadline_ms,
                                 .at_least_ =
                                     fresh ? log_position{} : caller.token_,
                                 .has_token_ = !fresh,
                                 .replica_reads_ = !fresh,
                                 .max_age_ms_ = aged ? age_ms : 0,
                                 .seed_ = loop_.pick(1000)};
    auto ended = std::make_shared<bool>(false);
    auto continue_session = [this, &caller, ended]
    {
        if (!std::exchange(*ended, true))
            loop_.after(loop_.uniform(5, 60),
                        [this, &caller]
                        {
                            run_next_statement(caller);
                        });
    };
    loop_.after(static_cast<double>(deadline_ms + 500), continue_session);
    auto take = [=, this, &caller](const statement_answer& got)
    {
        if (*ended)
            return;
        if (got.outcome_ == outcome::done)
        {
            ++result_.reads_;
            result_.replica_allowed_ += fresh ? 0 : 1;
            result_.replica_reads_ += !fresh && got.by_replica_ ? 1 : 0;
            bool found = got.results_.at(0).found_;
            bool must_see = own || (fresh && key_since < began) ||
                            (aged && got.age_ms_ >= 0 &&
                             key_since < loop_.now() - got.age_ms_ - 10);
            if ((must_see && !found) || got.position_ < opts.at_least_ ||
                (aged && got.age_ms_ > age_ms))
            {
                ++result_.stale_;
                loop_.trace("BROKEN: " + caller.name_ + " read " + key +
                            " at " + got.served_by_ + (own ? " own" : "") +
                            (fresh ? " fresh" : "") + " age " +
                            std::to_string(got.age_ms_) + " acked at " +
                            std::to_string(key_since.ms_));
            }
            if (found && got.results_.at(0).value_ != "1")
                ++result_.doubled_;
            caller.token_ = std::max(caller.token_, got.position_);
            caller.has_token_ = true;
        }
        continue_session();
    };
    loop_.after(group_.delay(),
                [proxy, key, opts, take]() mutable
                {
                    proxy->read({{"get", key, ""}}, opts, take);
                });
}

void scenario_run::inject_failure(const std::string& failure)
{
    failed_at_ = std::max(failed_at_, loop_.now());
    std::size_t primary = current_primary();
    std::string name = fake_group::name_of(primary);
    loop_.trace("failure: " + failure + ", primary is " + name);
    double span = loop_.uniform(1500, 5000);
    if (failure == "kill_primary")
    {
        group_.kill(primary);
        if (loop_.chance(0.5))
            restore_after(span,
                          [this, primary]
                          {
                              group_.restart(primary);
                          });
    }
    else if (failure == "cut_primary")
    {
        // Cut off from its group only, or also from all proxies but one.
        auto others = current_replicas();
        std::size_t with = loop_.pick(proxies_.size() + 1);
        std::vector<std::string> unreachable;
        unreachable.reserve(others.size() + proxies_.size());
        for (auto i : others)
            unreachable.push_back(fake_group::name_of(i));
        for (std::size_t i = 0; i < proxies_.size(); ++i)
        {
            if (i != with && with < proxies_.size())
                unreachable.push_back(proxies_[i]->name());
        }
        for (const auto& other : unreachable)
            group_.set_cut(name, other, true);
        restore_after(span,
                      [this, name, unreachable]
                      {
                          for (const auto& other : unreachable)
                              group_.set_cut(name, other, false);
                      });
    }
    else if (failure == "split_with_proxy")
    {
        // Partition: the old primary and one proxy, and all other nodes.
        std::string inside = proxies_[0]->name();
        std::vector<std::pair<std::string, std::string>> cuts;
        for (auto i : current_replicas())
        {
            cuts.emplace_back(name, fake_group::name_of(i));
            cuts.emplace_back(inside, fake_group::name_of(i));
        }
        for (std::size_t i = 1; i < proxies_.size(); ++i)
            cuts.emplace_back(name, proxies_[i]->name());
        first_proxy_reads_only_ = loop_.chance(0.5);
        for (const auto& [a, b] : cuts)
            group_.set_cut(a, b, true);
        restore_after(span,
                      [this, cuts]
                      {
                          first_proxy_reads_only_ = false;
                          for (const auto& [a, b] : cuts)
                              group_.set_cut(a, b, false);
                      });
    }
    else if (failure == "freeze_primary")
        group_.freeze(primary, static_cast<std::int64_t>(span));
    else
        inject_other_failure(failure);
}

void scenario_run::inject_other_failure(const std::string& failure)
{
    double span = loop_.uniform(1500, 5000);
    auto replicas = current_replicas();
    if (failure == "kill_proxy")
        proxies_[loop_.pick(proxies_.size())]->kill();
    else if (failure == "freeze_proxy")
        proxies_[loop_.pick(proxies_.size())]->freeze(
            static_cast<std::int64_t>(span));
    else if (failure == "own_cut")
        group_.set_cut(proxies_[0]->name(),
                       fake_group::name_of(current_primary()), true);
    else if (failure == "lagging_replica")
    {
        constexpr std::int64_t far_behind_ms = 4000;
        group_.set_lag(replicas[loop_.pick(replicas.size())], far_behind_ms);
    }
    else if (failure == "lost_answers")
    {
        auto degraded = group_.network();
        degraded.loss_ = 0.08;
        degraded.duplicate_ = 0.2;
        group_.set_network(degraded);
    }
    else if (failure == "slow_network")
    {
        auto degraded = group_.network();
        degraded.one_way_ms_ *= 5;
        degraded.jitter_ms_ = 60;
        group_.set_network(degraded);
    }
    else if (failure == "kill_replica")
        group_.kill(replicas[loop_.pick(replicas.size())]);
    else if (failure == "leaving_primary")
    {
        std::size_t leaving = current_primary();
        group_.set_leaving(leaving);
        loop_.after(
            leaving_limit_ms,
            [this, leaving]
            {
                if (current_primary() == leaving)
                    loop_.trace("BROKEN: the leaving member is still primary");
                result_.leaving_served_ += current_primary() == leaving ? 1 : 0;
            });
    }
    else if (failure == "planned_move")
    {
        // In half of the runs the last proxy can't reach the target member.
        std::string target = fake_group::name_of(replicas[0]);
        std::string cut_off_proxy = proxies_.back()->name();
        if (loop_.chance(0.5))
            group_.set_cut(cut_off_proxy, target, true);
        restore_after(span,
                      [this, cut_off_proxy, target]
                      {
                          group_.set_cut(cut_off_proxy, target, false);
                      });
        for (auto& proxy : proxies_)
        {
            if (proxy->is_running())
            {
                static_cast<void>(proxy->monitor().move_primary(
                    fake_group::name_of(replicas[0]), loop_.now()));
                break;
            }
        }
    }
}

void scenario_run::heal()
{
    std::vector<std::string> names;
    for (std::size_t i = 0; i < fake_group::members; ++i)
        names.push_back(fake_group::name_of(i));
    for (const auto& proxy : proxies_)
        names.push_back(proxy->name());
    for (const auto& a : names)
    {
        for (const auto& b : names)
            group_.set_cut(a, b, false);
    }
    for (std::size_t i = 0; i < fake_group::members; ++i)
    {
        if (!group_.is_running(i))
            group_.restart(i);
        group_.set_lag(i, options_.lag_ms_);
    }
    group_.set_network(network_of(options_.size_));
}

void scenario_run::check_history()
{
    auto last = group_.primary();
    std::map<std::string, std::string> rows;
    if (last)
    {
        auto all = group_.state(*last).read({{"list", "s", ""}});
        const auto& listed = all->results_[0].rows_;
        for (std::size_t i = 0; i + 1 < listed.size(); i += 2)
            rows[listed[i]] = listed[i + 1];
    }
    for (const auto& [key, record] : writes_)
    {
        std::int64_t times = 0;
        if (auto at = rows.find(key); at != rows.end())
            std::from_chars(at->second.data(),
                            at->second.data() + at->second.size(), times);
        bool lost = record.reported_ == outcome::done && times == 0;
        bool refused = record.reported_ == outcome::not_run && times > 0;
        result_.lost_ += lost ? 1 : 0;
        result_.false_refusal_ += refused ? 1 : 0;
        result_.doubled_ += times > 1 ? 1 : 0;
        result_.written_ += record.reported_ == outcome::done ? 1 : 0;
        result_.unknown_ += record.reported_ == outcome::unknown ? 1 : 0;
        result_.not_run_ += record.reported_ == outcome::not_run ? 1 : 0;
        if (lost || refused || times > 1)
            loop_.trace("BROKEN: " + key + " reported " +
                        std::string(name_of(record.reported_)) + ", applied " +
                        std::to_string(times) + " times");
    }
    result_.promotions_ =
        static_cast<std::int64_t>(group_.term_started_at().size()) - 1;
    instant before = never;
    std::sort(acknowledged_at_.begin(), acknowledged_at_.end());
    for (instant at : acknowledged_at_)
    {
        if (before != never && at >= failed_at_ && failed_at_ != never &&
            at < instant{options_.length_ms_})
            result_.failover_gap_ms_ =
                std::max(result_.failover_gap_ms_, at - before);
        before = at;
    }
    result_.trace_.assign(loop_.lines().begin(), loop_.lines().end());
}

} // namespace

nlohmann::json scenario_result::measures() const
{
    return {{"written", written_},
            {"unknown", unknown_},
            {"not_run", not_run_},
            {"reads", reads_},
            {"lost", lost_},
            {"doubled", doubled_},
            {"stale", stale_},
            {"mixed", mixed_},
            {"false_refusal", false_refusal_},
            {"ack_by_replaced", ack_by_replaced_},
            {"replica_share", replica_share()},
            {"leaving_served", leaving_served_},
            {"promotions", promotions_},
            {"failover_gap_ms", failover_gap_ms_}};
}

const std::vector<std::pair<std::string, std::string>>& failure_names()
{
    static const std::vector<std::pair<std::string, std::string>> names{
        {"kill_primary", "the primary crashes; it may restart with its log"},
        {"cut_primary", "the primary is cut off and keeps its primary role"},
        {"split_with_proxy", "the primary and a proxy are cut off together"},
        {"freeze_primary",
         "the primary is paused and resumes with stale state"},
        {"kill_proxy", "a proxy crashes with statements in flight"},
        {"freeze_proxy", "a proxy is paused, possibly during a promotion"},
        {"own_cut", "one proxy alone is cut off from the primary"},
        {"lagging_replica", "a replica falls four seconds behind"},
        {"lost_answers", "responses are lost and requests are duplicated"},
        {"slow_network", "messages are delayed and reordered"},
        {"kill_replica", "a replica crashes"},
        {"planned_move", "an operator moves the primary"},
        {"leaving_primary", "the primary is leaving"}};
    return names;
}

scenario_result run_scenario(const scenario_options& opts)
{
    return scenario_run(opts).run();
}

} // namespace tanagerspan
