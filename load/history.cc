#include "load/history.h"

#include <algorithm>
#include <charconv>
#include <set>

namespace tanagerspan
{
namespace
{

std::int64_t number_of(const std::string& text)
{
    std::int64_t out = 0;
    std::from_chars(text.data(), text.data() + text.size(), out);
    return out;
}

// "order/SESSION/N" -> "SESSION"
std::string session_of(const std::string& key)
{
    auto first = key.find('/');
    auto second = key.find('/', first + 1);
    return key.substr(first + 1, second - first - 1);
}

} // namespace

std::string history::value_of(const std::string& key)
{
    return "of " + key;
}

void history::on_written(const std::string& key, outcome what, instant at)
{
    std::lock_guard lock(mutex_);
    writes_[key] = what;
    if (what != outcome::done)
        return;
    acknowledged_.push_back(key);
    if (last_acknowledged_ != never)
        longest_gap_ms_ = std::max(longest_gap_ms_, at - last_acknowledged_);
    last_acknowledged_ = std::max(last_acknowledged_, at);
}

void history::on_read_own(const std::string& key, bool found,
                          const std::string& value)
{
    std::lock_guard lock(mutex_);
    ++read_back_;
    if (!found)
        ++counts_.stale_;
    else if (value != value_of(key))
        ++counts_.mixed_;
}

void history::on_read(bool found, const std::string& key,
                      const std::string& value, bool by_replica,
                      bool replica_allowed)
{
    std::lock_guard lock(mutex_);
    ++reads_;
    replica_reads_ += by_replica && replica_allowed ? 1 : 0;
    replica_allowed_ += replica_allowed ? 1 : 0;
    if (found && value != value_of(key))
        ++counts_.mixed_;
}

void history::on_age(std::int64_t age_ms, std::int64_t allowed_ms)
{
    std::lock_guard lock(mutex_);
    if (age_ms < 0 || age_ms > allowed_ms)
        ++counts_.stale_;
}

std::string history::random_acknowledged_key(std::mt19937_64& random) const
{
    std::lock_guard lock(mutex_);
    if (acknowledged_.empty())
        return {};
    return acknowledged_[random() % acknowledged_.size()];
}

void history::audit(const std::vector<std::string>& rows,
                    const std::vector<std::string>& counters)
{
    std::lock_guard lock(mutex_);
    audited_ = true;
    std::set<std::string> existing_keys;
    std::map<std::string, std::int64_t> by_session;
    for (std::size_t i = 0; i + 1 < rows.size(); i += 2)
    {
        existing_keys.insert(rows[i]);
        ++by_session[session_of(rows[i])];
        if (rows[i + 1] != value_of(rows[i]))
            ++counts_.mixed_;
    }
    for (const auto& [key, what] : writes_)
    {
        bool present = existing_keys.contains(key);
        if (what == outcome::done && !present)
            ++counts_.lost_;
        if (what == outcome::not_run && present)
            ++counts_.false_refusal_;
    }
    for (std::size_t i = 0; i + 1 < counters.size(); i += 2)
    {
        auto session = counters[i].substr(counters[i].find('/') + 1);
        counts_.doubled_ += std::max<std::int64_t>(
            0, number_of(counters[i + 1]) - by_session[session]);
    }
}

violation_counts history::violations() const
{
    std::lock_guard lock(mutex_);
    return counts_;
}

nlohmann::json history::measures() const
{
    std::lock_guard lock(mutex_);
    std::int64_t unknown = 0;
    std::int64_t not_run = 0;
    for (const auto& [key, what] : writes_)
    {
        unknown += what == outcome::unknown ? 1 : 0;
        not_run += what == outcome::not_run ? 1 : 0;
    }
    double share = replica_allowed_ == 0
                       ? 0.0
                       : static_cast<double>(replica_reads_) /
                             static_cast<double>(replica_allowed_);
    return {{"written", acknowledged_.size()},
            {"unknown", unknown},
            {"not_run", not_run},
            {"reads", reads_},
            {"read_back", read_back_},
            {"lost", counts_.lost_},
            {"doubled", counts_.doubled_},
            {"stale", counts_.stale_},
            {"mixed", counts_.mixed_},
            {"false_refusal", counts_.false_refusal_},
            {"replica_share", share},
            {"longest_write_gap_ms", longest_gap_ms_},
            {"audited", audited_}};
}

} // namespace tanagerspan
