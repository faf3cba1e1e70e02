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
constexpr std::int64_t patience_ms = 1500;
constexpr std::int64_t give_up_ms = 8000;
constexpr double leaving_bound_ms = 5000;

struct write_record
{
    outcome told_ = outcome::unknown;
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

class run
{
public:
    explicit run(const scenario_options& opts)
        : options_(opts), loop_(opts.seed_),
          group_(loop_, network_of(opts.size_), opts.removed_, opts.lag_ms_)
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

    scenario_result go()
    {
        group_.start();
        for (auto& proxy : proxies_)
            proxy->start();
        for (auto& one : sessions_)
            loop_.after(loop_.uniform(0, 100),
                        [this, &one]
                        {
                            next(one);
                        });
        for (const auto& failure : options_.failures_)
            loop_.after(static_cast<double>(warm_up_ms) +
                            loop_.uniform(0, 1000),
                        [this, failure]
                        {
                            bring_about(failure);
                        });
        loop_.run_until(instant{options_.length_ms_});
        stopping_ = true;
        heal();
        loop_.run_until(instant{options_.length_ms_ + settle_ms});
        judge();
        return std::move(result_);
    }

private:
    static network_options network_of(const std::string& size)
    {
        return size == "lineas_andinas"
                   ? network_options{.one_way_ms_ = 0.5, .jitter_ms_ = 0.3}
                   : network_options{.one_way_ms_ = 1.0, .jitter_ms_ = 0.5};
    }

    void next(session& by);
    void write(session& by);
    void attempt_write(session& by, const std::string& key, bool with_id,
                       instant give_up, const std::shared_ptr<bool>& ended);
    void read(session& by);
    void bring_about(const std::string& failure);
    void bring_about_more(const std::string& failure);
    void heal();
    void judge();
    void on_done(session& by, const std::string& key,
                 const statement_answer& got);
    void mend_after(double ms, std::function<void()> mend)
    {
        loop_.after(ms, std::move(mend));
    }
    fake_proxy* any_proxy(bool writes);
    std::size_t primary_now()
    {
        return group_.primary().value_or(0);
    }
    std::vector<std::size_t> replicas_now();

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
    bool island_reads_only_ = false; // no writes via the first proxy
};

fake_proxy* run::any_proxy(bool writes)
{
    std::vector<fake_proxy*> up;
    for (auto& proxy : proxies_)
    {
        bool left_out =
            writes && island_reads_only_ && proxy == proxies_.front();
        if (proxy->alive() && !left_out)
            up.push_back(proxy.get());
    }
    return up.empty() ? nullptr : up[loop_.pick(up.size())];
}

std::vector<std::size_t> run::replicas_now()
{
    std::vector<std::size_t> out;
    for (std::size_t i = 0; i < fake_group::members; ++i)
    {
        if (i != primary_now())
            out.push_back(i);
    }
    return out;
}

void run::next(session& by)
{
    if (stopping_)
        return;
    constexpr double write_share = 0.4;
    if (by.last_key_.empty() || loop_.chance(write_share))
        write(by);
    else
        read(by);
}

void run::write(session& by)
{
    std::string key = by.name_ + "/" + std::to_string(by.next_++);
    constexpr double with_id_share = 0.75;
    writes_[key] = {};
    attempt_write(by, key, loop_.chance(with_id_share),
                  loop_.now() + give_up_ms, std::make_shared<bool>(false));
}

// Sends one attempt through any proxy. With a request id, the caller times out
// after `patience_ms` and retries through another proxy, possibly while the
// first attempt is still in flight.
void run::attempt_write(session& by, const std::string& key, bool with_id,
                        instant give_up, const std::shared_ptr<bool>& ended)
{
    auto settled = std::make_shared<bool>(false);
    auto go_on = [this, &by]
    {
        loop_.after(loop_.uniform(5, 60),
                    [this, &by]
                    {
                        next(by);
                    });
    };
    auto retry = [=, this, &by]
    {
        if (*ended || std::exchange(*settled, true))
            return;
        if (!with_id || stopping_ || loop_.now() >= give_up)
        {
            *ended = true;
            go_on();
            return;
        }
        loop_.after(loop_.uniform(5, 40),
                    [=, this, &by]
                    {
                        attempt_write(by, key, with_id, give_up, ended);
                    });
    };
    loop_.after(static_cast<double>(with_id ? patience_ms : deadline_ms + 500),
                retry);
    fake_proxy* proxy = any_proxy(true);
    if (proxy == nullptr)
        return;
    loop_.after(group_.delay(),
                [=, this, &by]
                {
                    proxy->write(
                        {{"add", key, "1"}}, with_id ? key : "", deadline_ms,
                        [=, this, &by](const statement_answer& got)
                        {
                            auto& record = writes_[key];
                            if (got.outcome_ == outcome::done)
                            {
                                on_done(by, key, got);
                                if (!std::exchange(*ended, true))
                                    go_on();
                                return;
                            }
                            // A refusal is final only for a write that was
                            // sent once: it says nothing of other attempts.
                            if (got.outcome_ == outcome::not_run && !with_id &&
                                record.told_ != outcome::done)
                                record.told_ = outcome::not_run;
                            retry();
                        });
                });
}

void run::on_done(session& by, const std::string& key,
                  const statement_answer& got)
{
    auto& record = writes_[key];
    if (record.told_ != outcome::done)
    {
        acknowledged_.emplace_back(loop_.now(), key);
        acknowledged_at_.push_back(loop_.now());
    }
    record.told_ = outcome::done;
    by.last_key_ = key;
    by.token_ = std::max(by.token_, got.position_);
    by.has_token_ = true;
    // Ground truth: did a later term have a primary before this commit?
    for (const auto& [term, since] : group_.led_since())
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

void run::read(session& by)
{
    fake_proxy* proxy = any_proxy(false);
    if (proxy == nullptr)
        return;
    constexpr double own_share = 0.4;
    constexpr double fresh_share = 0.2;
    constexpr std::int64_t age_ms = 500;
    bool own = loop_.chance(own_share);
    bool fresh = !own && loop_.chance(fresh_share);
    bool aged = !own && !fresh && loop_.chance(0.5);
    std::string key =
        own ? by.last_key_
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
                                     fresh ? log_position{} : by.token_,
                                 .has_token_ = !fresh,
                                 .replica_reads_ = !fresh,
                                 .max_age_ms_ = aged ? age_ms : 0,
                                 .seed_ = loop_.pick(1000)};
    auto ended = std::make_shared<bool>(false);
    auto go_on = [this, &by, ended]
    {
        if (!std::exchange(*ended, true))
            loop_.after(loop_.uniform(5, 60),
                        [this, &by]
                        {
                            next(by);
                        });
    };
    loop_.after(static_cast<double>(deadline_ms + 500), go_on);
    auto take = [=, this, &by](const statement_answer& got)
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
                loop_.trace("BROKEN: " + by.name_ + " read " + key + " at " +
                            got.served_by_ + (own ? " own" : "") +
                            (fresh ? " fresh" : "") + " age " +
                            std::to_string(got.age_ms_) + " acked at " +
                            std::to_string(key_since.ms_));
            }
            if (found && got.results_.at(0).value_ != "1")
                ++result_.doubled_;
            by.token_ = std::max(by.token_, got.position_);
            by.has_token_ = true;
        }
        go_on();
    };
    loop_.after(group_.delay(),
                [proxy, key, opts, take]() mutable
                {
                    proxy->read({{"get", key, ""}}, opts, take);
                });
}

void run::bring_about(const std::string& failure)
{
    failed_at_ = std::max(failed_at_, loop_.now());
    std::size_t primary = primary_now();
    std::string name = fake_group::name_of(primary);
    loop_.trace("failure: " + failure + ", primary is " + name);
    double span = loop_.uniform(1500, 5000);
    if (failure == "kill_primary")
    {
        group_.kill(primary);
        if (loop_.chance(0.5))
            mend_after(span,
                       [this, primary]
                       {
                           group_.revive(primary);
                       });
    }
    else if (failure == "cut_primary")
    {
        // Cut off from its group only, or also from all proxies but one.
        auto others = replicas_now();
        std::size_t with = loop_.pick(proxies_.size() + 1);
        std::vector<std::string> away;
        away.reserve(others.size() + proxies_.size());
        for (auto i : others)
            away.push_back(fake_group::name_of(i));
        for (std::size_t i = 0; i < proxies_.size(); ++i)
        {
            if (i != with && with < proxies_.size())
                away.push_back(proxies_[i]->name());
        }
        for (const auto& other : away)
            group_.set_cut(name, other, true);
        mend_after(span,
                   [this, name, away]
                   {
                       for (const auto& other : away)
                           group_.set_cut(name, other, false);
                   });
    }
    else if (failure == "split_with_proxy")
    {
        // Partition: the old primary and one proxy, and all other nodes.
        std::string inside = proxies_[0]->name();
        std::vector<std::pair<std::string, std::string>> cuts;
        for (auto i : replicas_now())
        {
            cuts.emplace_back(name, fake_group::name_of(i));
            cuts.emplace_back(inside, fake_group::name_of(i));
        }
        for (std::size_t i = 1; i < proxies_.size(); ++i)
            cuts.emplace_back(name, proxies_[i]->name());
        island_reads_only_ = loop_.chance(0.5);
        for (const auto& [a, b] : cuts)
            group_.set_cut(a, b, true);
        mend_after(span,
                   [this, cuts]
                   {
                       island_reads_only_ = false;
                       for (const auto& [a, b] : cuts)
                           group_.set_cut(a, b, false);
                   });
    }
    else if (failure == "freeze_primary")
        group_.freeze(primary, static_cast<std::int64_t>(span));
    else
        bring_about_more(failure);
}

void run::bring_about_more(const std::string& failure)
{
    double span = loop_.uniform(1500, 5000);
    auto replicas = replicas_now();
    if (failure == "kill_proxy")
        proxies_[loop_.pick(proxies_.size())]->kill();
    else if (failure == "freeze_proxy")
        proxies_[loop_.pick(proxies_.size())]->freeze(
            static_cast<std::int64_t>(span));
    else if (failure == "own_cut")
        group_.set_cut(proxies_[0]->name(), fake_group::name_of(primary_now()),
                       true);
    else if (failure == "lagging_replica")
    {
        constexpr std::int64_t far_behind_ms = 4000;
        group_.set_lag(replicas[loop_.pick(replicas.size())], far_behind_ms);
    }
    else if (failure == "lost_answers")
    {
        auto worse = group_.network();
        worse.loss_ = 0.08;
        worse.duplicate_ = 0.2;
        group_.set_network(worse);
    }
    else if (failure == "slow_network")
    {
        auto worse = group_.network();
        worse.one_way_ms_ *= 5;
        worse.jitter_ms_ = 60;
        group_.set_network(worse);
    }
    else if (failure == "kill_replica")
        group_.kill(replicas[loop_.pick(replicas.size())]);
    else if (failure == "leaving_primary")
    {
        std::size_t leaving = primary_now();
        group_.set_leaving(leaving);
        loop_.after(leaving_bound_ms,
                    [this, leaving]
                    {
                        if (primary_now() == leaving)
                            loop_.trace("BROKEN: the leaving member leads");
                        result_.leaving_served_ +=
                            primary_now() == leaving ? 1 : 0;
                    });
    }
    else if (failure == "planned_move")
    {
        // In half of the runs the last proxy can't reach the target member.
        std::string target = fake_group::name_of(replicas[0]);
        std::string blind = proxies_.back()->name();
        if (loop_.chance(0.5))
            group_.set_cut(blind, target, true);
        mend_after(span,
                   [this, blind, target]
                   {
                       group_.set_cut(blind, target, false);
                   });
        for (auto& proxy : proxies_)
        {
            if (proxy->alive())
            {
                static_cast<void>(proxy->monitor().move_primary(
                    fake_group::name_of(replicas[0]), loop_.now()));
                break;
            }
        }
    }
}

void run::heal()
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
        if (!group_.alive(i))
            group_.revive(i);
        group_.set_lag(i, options_.lag_ms_);
    }
    group_.set_network(network_of(options_.size_));
}

void run::judge()
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
        bool lost = record.told_ == outcome::done && times == 0;
        bool refused = record.told_ == outcome::not_run && times > 0;
        result_.lost_ += lost ? 1 : 0;
        result_.false_refusal_ += refused ? 1 : 0;
        result_.doubled_ += times > 1 ? 1 : 0;
        result_.written_ += record.told_ == outcome::done ? 1 : 0;
        result_.unknown_ += record.told_ == outcome::unknown ? 1 : 0;
        result_.not_run_ += record.told_ == outcome::not_run ? 1 : 0;
        if (lost || refused || times > 1)
            loop_.trace("BROKEN: " + key + " told " +
                        std::string(name_of(record.told_)) + ", is there " +
                        std::to_string(times) + " times");
    }
    result_.promotions_ =
        static_cast<std::int64_t>(group_.led_since().size()) - 1;
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
        {"kill_primary", "the primary dies; it may come back with its log"},
        {"cut_primary", "the primary is cut off and believes it leads"},
        {"split_with_proxy", "the primary and a proxy are cut off together"},
        {"freeze_primary", "the primary is paused and wakes unaware"},
        {"kill_proxy", "a proxy dies with work in flight"},
        {"freeze_proxy", "a proxy is paused, maybe while promoting"},
        {"own_cut", "one proxy alone loses the primary"},
        {"lagging_replica", "a replica falls four seconds behind"},
        {"lost_answers", "answers are lost and orders come twice"},
        {"slow_network", "messages are late and crossed"},
        {"kill_replica", "a replica dies"},
        {"planned_move", "an operator moves the primary"},
        {"leaving_primary", "the primary is leaving"}};
    return names;
}

scenario_result run_scenario(const scenario_options& opts)
{
    return run(opts).go();
}

} // namespace tanagerspan
