#include "node/decision_journal.h"

#include <Poco/DateTimeFormat.h>
#include <Poco/DateTimeFormatter.h>
#include <Poco/Timestamp.h>

#include "transport/json_log.h"

namespace tanagerspan
{

void decision_journal::add(decision made)
{
    nlohmann::json line{{"what", made.what_},
                        {"subject", made.subject_},
                        {"cause", made.cause_},
                        {"term_or_version", made.term_or_version_},
                        {"correlation", made.correlation_}};
    log_line(log_level::info, "decision", line);
    line["time"] = Poco::DateTimeFormatter::format(
        Poco::Timestamp(), Poco::DateTimeFormat::ISO8601_FRAC_FORMAT);
    std::lock_guard lock(mutex_);
    kept_.push_back(std::move(line));
    if (kept_.size() > max_kept)
        kept_.pop_front();
}

nlohmann::json decision_journal::about(std::string_view about) const
{
    std::lock_guard lock(mutex_);
    auto out = nlohmann::json::array();
    for (const auto& line : kept_)
    {
        if (about.empty() || line["subject"] == about ||
            line["correlation"] == about)
            out.push_back(line);
    }
    return out;
}

} // namespace tanagerspan
