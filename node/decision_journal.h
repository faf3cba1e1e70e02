#ifndef TANAGERSPAN_NODE_DECISION_JOURNAL_H
#define TANAGERSPAN_NODE_DECISION_JOURNAL_H

// Journal of this proxy's important decisions and their causes. Each decision
// is written as one JSON log line; the latest are also kept in memory for
// `tanagerctl explain`. Thread safe.

#include <deque>
#include <mutex>
#include <string>
#include <string_view>

#include <nlohmann/json.hpp>

namespace tanagerspan
{

struct decision
{
    std::string what_;    ///< suspicion, claim, promotion, refusal, ...
    std::string subject_; ///< a service, a team or a proxy
    std::string cause_;
    std::uint64_t term_or_version_ = 0;
    std::string correlation_; ///< a request id or a change id
};

class decision_journal
{
public:
    static constexpr std::size_t max_entries = 2000;

    /// Logs the decision and keeps it; beyond `max_entries` the oldest is
    /// dropped from memory.
    void add(decision entry);

    /// Returns the decisions in memory whose subject or correlation equals
    /// `key`, as a JSON array, oldest first. An empty `key` selects all.
    nlohmann::json find(std::string_view key) const;

private:
    mutable std::mutex mutex_;
    std::deque<nlohmann::json> entries_;
};

} // namespace tanagerspan

#endif
