#include "coordination/takeover_row.h"

namespace tanagerspan
{
namespace
{

int stage_rank(const std::string& stage)
{
    return stage == "claimed" ? 0 : stage == "ordered" ? 1 : 2;
}

} // namespace

bool is_earlier(const takeover_row& row, const takeover_row& other)
{
    return row.token_ != other.token_
               ? row.token_ < other.token_
               : stage_rank(row.stage_) < stage_rank(other.stage_);
}

takeover_row make_restored_row(const takeover_row& known, std::int64_t since_ms)
{
    takeover_row out = known;
    out.ordered_age_ms_ += since_ms;
    out.resumed_age_ms_ += since_ms;
    return out;
}

pending_commands pending_commands_of(const takeover_row& row,
                                     std::int64_t since_ms)
{
    pending_commands out{.ordered_age_ms_ = row.ordered_age_ms_ + since_ms,
                         .resumed_age_ms_ = row.resumed_age_ms_ + since_ms};
    if (!row.ordered_.empty() && out.ordered_age_ms_ < max_command_delay_ms)
        out.ordered_ = row.ordered_;
    if (out.resumed_age_ms_ < max_command_delay_ms)
        out.resumed_ = row.resumed_;
    return out;
}

pending_promotion pending_promotion_of(const takeover_row& row,
                                       instant received_at)
{
    // Once the promotion is done, a late copy of its order changes nothing. The
    // row may stay for long, and its reader cannot know its age.
    if (row.ordered_.empty() || row.stage_ == "done")
        return {};
    return {.endpoint_id_ = row.ordered_,
            .until_ =
                received_at + (max_command_delay_ms - row.ordered_age_ms_)};
}

takeover_row make_claim_row(const takeover_row& seen, std::int64_t since_ms,
                            const std::string& holder)
{
    pending_commands pending = pending_commands_of(seen, since_ms);
    return {.token_ = seen.token_ + 1,
            .holder_ = holder,
            .endpoint_ = seen.endpoint_,
            .stage_ = "claimed",
            .ordered_ = pending.ordered_.value_or(""),
            .ordered_age_ms_ = pending.ordered_age_ms_,
            .floor_ = seen.floor_,
            .term_ = seen.term_,
            .resumed_ = pending.resumed_,
            .resumed_age_ms_ = pending.resumed_age_ms_};
}

takeover_row make_order_row(const takeover_row& claim,
                            const std::string& target, std::uint64_t term,
                            log_position floor, std::int64_t lease_ms)
{
    takeover_row out = claim;
    out.endpoint_ = target;
    out.stage_ = "ordered";
    out.ordered_ = target;
    out.ordered_age_ms_ = -lease_ms;
    // An order for the current primary, sent as a fence, starts no term.
    if (term > claim.term_)
    {
        out.floor_ = floor;
        out.term_ = term;
    }
    return out;
}

takeover_row make_end_row(const takeover_row& held, const std::string& primary,
                          const pending_commands& pending,
                          std::uint64_t promoted_term)
{
    // An order that was recorded and never sent makes the recorded term later
    // than that of the promotion. No log would ever reach such a term.
    std::uint64_t term = promoted_term == 0 ? held.term_ : promoted_term;
    return {.token_ = held.token_,
            .holder_ = held.holder_,
            .endpoint_ = primary,
            .stage_ = primary.empty() ? "given_up" : "done",
            .ordered_ = pending.ordered_.value_or(""),
            .ordered_age_ms_ = pending.ordered_age_ms_,
            .floor_ = held.floor_,
            .term_ = term,
            .resumed_ = pending.resumed_,
            .resumed_age_ms_ = pending.resumed_age_ms_};
}

} // namespace tanagerspan
