#include "coordination/takeover_trigger.h"

namespace tanagerspan
{
namespace
{

void update_since(instant& since, bool holds, instant now)
{
    if (!holds)
        since = never;
    else if (since == never)
        since = now;
}

bool has_lasted(instant since, std::int64_t span_ms, instant now)
{
    return since != never && now - since >= span_ms;
}

} // namespace

void takeover_trigger::on_health(const primary_health& health, instant now)
{
    if (health.endpoint_id_ != health_.endpoint_id_)
        unreachable_since_ = leaving_since_ = unlisted_since_ = never;
    health_ = health;
    update_since(unreachable_since_, health.unreachable_, now);
    update_since(leaving_since_, health.leaving_, now);
    update_since(unlisted_since_, !health.listed_, now);
}

void takeover_trigger::on_row(const takeover_row& row, instant now)
{
    // A row that is written back after a restore of the store is no step of
    // the attempt, whose lease runs from its claim.
    bool same_step = row.token_ == row_.token_ && row.stage_ == row_.stage_;
    row_ = row;
    if (!same_step)
        row_changed_ = now;
}

void takeover_trigger::on_end_not_recorded(std::int64_t token)
{
    unrecorded_end_ = token;
}

std::optional<takeover_reason>
takeover_trigger::suspected_reason(std::int64_t delay_ms, instant now) const
{
    if (has_lasted(leaving_since_, delay_ms, now))
        return takeover_reason::leaving;
    if (has_lasted(unlisted_since_, options_.no_primary_ms_ + delay_ms, now))
        return health_.endpoint_id_.empty() ? takeover_reason::no_primary
                                            : takeover_reason::leaving;
    if (has_lasted(unreachable_since_, options_.refused_ms_ + delay_ms, now) ||
        has_lasted(health_.unanswered_since_, options_.silent_ms_ + delay_ms,
                   now))
        return takeover_reason::silent;
    if (has_lasted(health_.write_unanswered_since_,
                   options_.stuck_ms_ + delay_ms, now))
        return takeover_reason::stuck;
    return std::nullopt;
}

std::optional<takeover_reason> takeover_trigger::check(std::int64_t rank,
                                                       instant now) const
{
    std::int64_t delay_ms = rank * options_.rank_step_ms_;
    bool claim_open = row_.stage_ == "claimed" || row_.stage_ == "ordered";
    if (claim_open)
    {
        // An order of the ended attempt may be pending beside earlier ones,
        // which the row no longer names.
        bool ended_without_order =
            row_.stage_ == "claimed" && row_.token_ == unrecorded_end_;
        if (ended_without_order ||
            has_lasted(row_changed_, options_.claim_timeout_ms_ + delay_ms,
                       now))
            return takeover_reason::unfinished;
        return std::nullopt;
    }
    // The attempt gave up, but its promotion order may still take effect.
    bool order_pending = row_.stage_ == "given_up" && !row_.ordered_.empty();
    if (order_pending &&
        has_lasted(row_changed_, options_.pending_settle_ms_ + delay_ms, now))
        return takeover_reason::unfinished;
    if (row_changed_ != never && now - row_changed_ < options_.row_settle_ms_)
        return std::nullopt;
    return suspected_reason(delay_ms, now);
}

bool takeover_trigger::needs_check() const
{
    return unreachable_since_ != never || leaving_since_ != never ||
           unlisted_since_ != never || health_.unanswered_since_ != never ||
           health_.write_unanswered_since_ != never ||
           row_.stage_ == "claimed" || row_.stage_ == "ordered" ||
           (row_.stage_ == "given_up" && !row_.ordered_.empty());
}

} // namespace tanagerspan
