#ifndef TANAGERSPAN_NODE_DECISION_JOURNAL_H
#define TANAGERSPAN_NODE_DECISION_JOURNAL_H

// The decisions of weight that this proxy took, each with its cause: one
// JSON log line each, and the latest ones in memory for `tanagerctl explain`.
// Thread safe.

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
    static constexpr std::size_t max_kept = 2000;

    void add(decision made);

    /// Kept decisions whose subject or correlation is `about`, as JSON,
    /// oldest first; all of them for an empty `about`.
    nlohmann::json about(std::string_view about) const;

private:
    mutable std::mutex mutex_;
    std::deque<nlohmann::json> kept_;
};

} // namespace tanagerspan

#endif
