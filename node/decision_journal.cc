#include "node/decision_journal.h"

#include <Poco/DateTimeFormat.h>
#include <Poco/DateTimeFormatter.h>
#include <Poco/Timestamp.h>

#include "transport/json_log.h"

namespace tanagerspan
{

void decision_journal::add(decision entry)
{
    nlohmann::json line{{"what", entry.what_},
                        {"subject", entry.subject_},
                        {"cause", entry.cause_},
                        {"term_or_version", entry.term_or_version_},
                        {"correlation", entry.correlation_}};
    log_line(log_level::info, "decision", line);
    line["time"] = Poco::DateTimeFormatter::format(
        Poco::Timestamp(), Poco::DateTimeFormat::ISO8601_FRAC_FORMAT);
    std::lock_guard lock(mutex_);
    entries_.push_back(std::move(line));
    if (entries_.size() > max_entries)
        entries_.pop_front();
}

nlohmann::json decision_journal::find(std::string_view key) const
{
    std::lock_guard lock(mutex_);
    auto out = nlohmann::json::array();
    for (const auto& line : entries_)
    {
        if (key.empty() || line["subject"] == key || line["correlation"] == key)
            out.push_back(line);
    }
    return out;
}

} // namespace tanagerspan
