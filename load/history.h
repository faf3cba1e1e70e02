#ifndef TANAGERSPAN_LOAD_HISTORY_H
#define TANAGERSPAN_LOAD_HISTORY_H

// History of the writes and reads of all callers, and the violations found in
// it.
//
// Every write inserts a key that no other write uses and adds one to its
// session's counter in the same statement. At the end the audit reads all keys
// and counters through each proxy:
//   lost           acknowledged keys that are missing
//   doubled        the excess of a session's counter over its existing keys
//   false_refusal  existing keys whose write was refused as not run
//   stale          a session that missed its own write, or a response older
//                  than its class allows
//   mixed          a response to another request: the value of another key
// Thread-safe.

#include <cstdint>
#include <map>
#include <mutex>
#include <random>
#include <string>
#include <vector>

#include <nlohmann/json.hpp>

#include "coordination/statement.h"
#include "state/instant.h"

namespace tanagerspan
{

struct violation_counts
{
    std::int64_t lost_ = 0;
    std::int64_t doubled_ = 0;
    std::int64_t stale_ = 0;
    std::int64_t mixed_ = 0;
    std::int64_t false_refusal_ = 0;

    bool none() const
    {
        return lost_ + doubled_ + stale_ + mixed_ + false_refusal_ == 0;
    }
};

class history
{
public:
    /// The value that belongs to a key.
    static std::string value_of(const std::string& key);

    void on_written(const std::string& key, outcome what, instant at);
    void on_read_own(const std::string& key, bool found,
                     const std::string& value);
    void on_read(bool found, const std::string& key, const std::string& value,
                 bool by_replica, bool replica_allowed);
    void on_age(std::int64_t age_ms, std::int64_t allowed_ms);

    /// A random acknowledged key; empty if there is none yet.
    std::string random_acknowledged_key(std::mt19937_64& random) const;

    /// Checks the history against the rows and counters read through one proxy.
    /// Both vectors alternate keys and values.
    void audit(const std::vector<std::string>& rows,
               const std::vector<std::string>& counters);

    violation_counts violations() const;

    /// The measures by their documented names.
    nlohmann::json measures() const;

private:
    mutable std::mutex mutex_;
    std::map<std::string, outcome> writes_;
    std::vector<std::string> acknowledged_;
    violation_counts counts_;
    std::int64_t reads_ = 0;
    std::int64_t read_back_ = 0;
    std::int64_t replica_reads_ = 0;
    std::int64_t replica_allowed_ = 0;
    std::int64_t longest_gap_ms_ = 0;
    instant last_acknowledged_ = never;
    bool audited_ = false;
};

} // namespace tanagerspan

#endif
