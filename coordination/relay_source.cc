#include "coordination/relay_source.h"

#include <algorithm>
#include <utility>

namespace tanagerspan
{
namespace
{

std::size_t size_of(const relayed_row& row)
{
    return row.key_.size() + row.value_.size();
}

} // namespace

std::int64_t relay_source::watch_from(std::int64_t after) const
{
    return version_ == 0 ? after : std::min(after, version_);
}

void relay_source::on_watch(std::int64_t wait_ms, instant now)
{
    answer_due_ = now + (wait_ms + options_.watch_margin_ms_);
}

relay_source::answers relay_source::on_answer(
    std::int64_t after, const std::vector<relayed_row>& rows,
    std::int64_t version, std::int64_t proof_ms, instant now)
{
    bool contiguous = version_ != 0 && after <= version_;
    if (!contiguous)
    {
        changes_.clear();
        bytes_ = 0;
        known_from_ = after;
        version_ = after;
    }
    // An answer may be overtaken by that of a later watch.
    if (version < version_)
        return {};
    version_ = version;
    proof_ms_ = proof_ms;
    connected_ = true;
    answer_due_ = now + (options_.max_pause_ms_ + options_.watch_margin_ms_);
    for (const auto& row : rows)
        keep(row);
    while (changes_.size() > options_.max_rows_ || bytes_ > options_.max_bytes_)
        drop_oldest();
    return tick(now);
}

void relay_source::keep(const relayed_row& row)
{
    relayed_row& kept = changes_[row.key_];
    bytes_ -= size_of(kept);
    kept = row;
    // A removed row need not state the version that removed it.
    if (row.removed_)
        kept.version_ = version_;
    bytes_ += size_of(kept);
}

void relay_source::drop_oldest()
{
    auto oldest = std::min_element(changes_.begin(), changes_.end(),
                                   [](const auto& left, const auto& right)
                                   {
                                       return left.second.version_ <
                                              right.second.version_;
                                   });
    known_from_ = std::max(known_from_, oldest->second.version_);
    bytes_ -= size_of(oldest->second);
    changes_.erase(oldest);
}

relay_source::answers relay_source::take_unavailable()
{
    answers out;
    for (const auto& open : std::exchange(open_, {}))
        out.push_back(
            {.id_ = open.query_.id_, .outcome_ = relay_outcome::unavailable});
    return out;
}

relay_source::answers relay_source::on_failure()
{
    connected_ = false;
    return take_unavailable();
}

relay_source::answers relay_source::clear()
{
    changes_.clear();
    bytes_ = 0;
    known_from_ = 0;
    version_ = 0;
    proof_ms_ = 0;
    return on_failure();
}

std::optional<relay_answer> relay_source::decide(const open_query& open,
                                                 instant now) const
{
    const relay_query& query = open.query_;
    relay_answer out{.id_ = query.id_};
    if (!connected_ || now > answer_due_)
    {
        out.outcome_ = relay_outcome::unavailable;
        return out;
    }
    if (query.after_ < known_from_)
    {
        out.outcome_ = relay_outcome::compacted;
        return out;
    }
    bool has_news = version_ > query.after_ || proof_ms_ > query.proof_ms_;
    if (!has_news && now < open.until_)
        return std::nullopt;
    for (const auto& [key, row] : changes_)
    {
        if (row.version_ > query.after_)
            out.rows_.push_back(row);
    }
    // A requester that has read more than this relay had all changes, too, at
    // the time of the proof.
    out.version_ = std::max(version_, query.after_);
    out.proof_ms_ = proof_ms_;
    return out;
}

relay_source::answers relay_source::on_query(const relay_query& query,
                                             instant now)
{
    open_query open{query, now + query.wait_ms_};
    if (auto answer = decide(open, now))
        return {std::move(*answer)};
    open_.push_back(open);
    return {};
}

relay_source::answers relay_source::tick(instant now)
{
    answers out;
    std::erase_if(open_,
                  [&](const open_query& open)
                  {
                      auto answer = decide(open, now);
                      if (answer)
                          out.push_back(std::move(*answer));
                      return answer.has_value();
                  });
    return out;
}

std::optional<instant> relay_source::next_due() const
{
    std::optional<instant> first;
    for (const auto& open : open_)
        first = std::min(first.value_or(open.until_), open.until_);
    return first;
}

} // namespace tanagerspan
