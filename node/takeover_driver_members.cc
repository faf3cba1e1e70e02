// The records of services' endpoints in the store: when this host writes one,
// and what it learns from one that another host wrote.

#include <algorithm>
#include <chrono>
#include <utility>

#include "node/takeover_driver.h"
#include "transport/json_log.h"
#include "transport/monotonic_clock.h"

namespace tanagerspan
{
void takeover_driver::on_record(service_state& state, const table_row& row)
{
    if (row.version_ <= state.record_version_)
        return;
    auto decoded = decode_text<member_record>(row.value_);
    // The version counts all the same, so that claims do not wait for a row
    // that nobody can read; `check_record` replaces it.
    state.record_version_ = row.version_;
    if (!decoded)
    {
        log_line(
            log_level::error, "member_record_invalid",
            {{"service", state.name_}, {"detail", decoded.error().detail_}});
        state.record_ = {};
    }
    else
        state.record_ = *decoded;
    instant now = monotonic_now();
    if (state.endpoints_known_)
        state.departed_.merge(state.record_, now);
    check_record(state, now);
    schedule_record_upkeep();
}

void takeover_driver::forget_record(service_state& state)
{
    state.record_version_ = 0;
    state.record_ = {};
    check_record(state, monotonic_now());
}

void takeover_driver::check_record(service_state& state, instant now)
{
    bool differs = state.endpoints_known_ &&
                   state.departed_.record() != state.record_ &&
                   !options_.members_table_.empty();
    if (!differs)
        state.record_differs_since_ = never;
    else if (state.record_differs_since_ == never)
        state.record_differs_since_ = now;
}

instant takeover_driver::next_record_upkeep(const service_state& state) const
{
    instant mark_at = state.departed_.next_mark_at();
    bool differs =
        state.record_differs_since_ != never && !state.writing_record_;
    if (mark_at == never && !differs)
        return never;
    std::int64_t rank = rank_of(state.name_);
    if (rank >= options_.recorders_)
        return never;
    if (mark_at != never && state.mark_requested_at_ != never)
        mark_at = std::max(mark_at,
                           state.mark_requested_at_ + options_.mark_retry_ms_);
    if (!differs)
        return mark_at;
    instant write_at =
        state.record_differs_since_ + (rank + 1) * options_.record_step_ms_;
    return mark_at == never ? write_at : std::min(mark_at, write_at);
}

void takeover_driver::schedule_record_upkeep()
{
    instant next = never;
    for (const auto& [service, state] : services_)
    {
        instant at = next_record_upkeep(state);
        if (at != never && (next == never || at < next))
            next = at;
    }
    if (next == record_timer_at_)
        return;
    record_timer_at_ = next;
    if (next == never)
    {
        record_timer_.cancel();
        return;
    }
    constexpr std::int64_t shortest_wait_ms = 10;
    record_timer_.expires_after(std::chrono::milliseconds(
        std::max(shortest_wait_ms, next - monotonic_now())));
    record_timer_.async_wait(
        [this](io_error cancelled)
        {
            if (cancelled)
                return;
            record_timer_at_ = never;
            upkeep_records();
        });
}

void takeover_driver::upkeep_records()
{
    instant now = monotonic_now();
    for (auto& [service, state] : services_)
    {
        instant at = next_record_upkeep(state);
        if (at == never || now < at)
            continue;
        if (state.departed_.needs_mark(now) && request_mark_)
        {
            state.mark_requested_at_ = now;
            request_mark_(service);
        }
        if (state.record_differs_since_ != never)
            write_record(state, now);
    }
    schedule_record_upkeep();
}

void takeover_driver::write_record(service_state& state, instant now)
{
    std::int64_t rank = rank_of(state.name_);
    bool due = !state.writing_record_ && rank < options_.recorders_ &&
               now - state.record_differs_since_ >=
                   (rank + 1) * options_.record_step_ms_;
    if (!due)
        return;
    state.writing_record_ = true;
    member_record wanted = state.departed_.record();
    table_transaction change{
        .expected_ = {{options_.members_table_, state.name_,
                       state.record_version_}},
        .put_ = {{.table_ = options_.members_table_,
                  .key_ = state.name_,
                  .value_ = encode(wanted).dump()}}};
    store_.transact(
        change,
        [this, &state, wanted, change, alive = std::weak_ptr<bool>(alive_)](
            const result<transaction_answer>& answer)
        {
            if (alive.expired())
                return;
            state.writing_record_ = false;
            bool applied = answer && answer->applied_;
            if (applied && answer->current_.version_ > state.record_version_)
            {
                state.record_version_ = answer->current_.version_;
                state.record_ = wanted;
            }
            if (answer && !applied)
                on_current_rows(state, change.expected_, answer->current_);
            // What still differs is written after another delay.
            state.record_differs_since_ = never;
            check_record(state, monotonic_now());
            log_line(log_level::info, "member_record_written",
                     {{"service", state.name_},
                      {"applied", applied},
                      {"endpoints", wanted.endpoints_.size()},
                      {"bound_term", wanted.bound_.term_},
                      {"bound_index", wanted.bound_.index_},
                      {"reason", answer ? "" : answer.error().detail_}});
            schedule_record_upkeep();
        });
}

} // namespace tanagerspan
