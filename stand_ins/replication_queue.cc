#include "stand_ins/replication_queue.h"

namespace tanagerspan
{

pull_request replication_queue::next_pull(const member_state& state) const
{
    if (queue_.empty())
        return state.make_pull_request();
    const auto& last = queue_.back();
    return {.promised_ = state.make_pull_request().promised_,
            .index_ = last.request_.index_ + last.answer_.entries_.size(),
            .last_term_ = last.answer_.entries_.back().term_};
}

void replication_queue::on_answer(member_state& state,
                                  const pull_request& asked,
                                  const pull_answer& got, std::int64_t lag_ms,
                                  instant now)
{
    state.record_primary_contact(got.term_, now);
    if (got.diverged_)
    {
        // The queued entries may follow the entry to be truncated.
        bool had_entries = !queue_.empty();
        queue_.clear();
        if (!had_entries)
            state.apply_pull(asked, got);
        return;
    }
    auto next = next_pull(state);
    if (asked.index_ != next.index_ || asked.last_term_ != next.last_term_)
        return;
    if (got.entries_.empty())
    {
        if (queue_.empty())
            state.apply_pull(asked, got);
        return;
    }
    queue_.push_back({now + lag_ms, asked, got});
}

bool replication_queue::apply_due(member_state& state, instant now)
{
    bool changed = false;
    while (!queue_.empty() && queue_.front().due_ <= now)
    {
        auto before = state.position();
        state.apply_pull(queue_.front().request_, queue_.front().answer_);
        queue_.pop_front();
        if (state.position() == before)
            queue_.clear(); // Ignored: sent by a replaced primary.
        else
            changed = true;
    }
    return changed;
}

} // namespace tanagerspan
