#include "stand_ins/replication_queue.h"

namespace tanagerspan
{

pull_request replication_queue::next_pull(const member_state& state) const
{
    if (waiting_.empty())
        return state.make_pull();
    const auto& last = waiting_.back();
    return {.promised_ = state.make_pull().promised_,
            .index_ = last.asked_.index_ + last.got_.entries_.size(),
            .last_term_ = last.got_.entries_.back().term_};
}

void replication_queue::on_answer(member_state& state,
                                  const pull_request& asked,
                                  const pull_answer& got, std::int64_t lag_ms,
                                  instant now)
{
    state.hear_primary(got.term_, now);
    if (got.diverged_)
    {
        // The queued entries may follow the entry to be truncated.
        bool had_waiting = !waiting_.empty();
        waiting_.clear();
        if (!had_waiting)
            state.apply_pull(asked, got);
        return;
    }
    auto next = next_pull(state);
    if (asked.index_ != next.index_ || asked.last_term_ != next.last_term_)
        return;
    if (got.entries_.empty())
    {
        if (waiting_.empty())
            state.apply_pull(asked, got);
        return;
    }
    waiting_.push_back({now + lag_ms, asked, got});
}

bool replication_queue::apply_due(member_state& state, instant now)
{
    bool changed = false;
    while (!waiting_.empty() && waiting_.front().due_ <= now)
    {
        auto before = state.position();
        state.apply_pull(waiting_.front().asked_, waiting_.front().got_);
        waiting_.pop_front();
        if (state.position() == before)
            waiting_.clear(); // Ignored: sent by a replaced primary.
        else
            changed = true;
    }
    return changed;
}

} // namespace tanagerspan
