// The rows of takeovers in the store: which of the stored and the known row
// counts, and how rows are written.

#include <algorithm>
#include <utility>

#include "node/takeover_driver.h"
#include "transport/json_log.h"
#include "transport/monotonic_clock.h"

namespace tanagerspan
{

void takeover_driver::on_rows(const std::map<std::string, table_row>& rows,
                              std::int64_t era)
{
    bool restored = era_ != unknown_era && era > era_;
    if (restored)
        hold_claims(monotonic_now() + options_.restore_hold_ms_);
    era_ = std::max(era_, era);
    for (auto& [service, state] : services_)
    {
        // The store may have another record than the known one.
        if (restored)
            forget_record(state);
    }
    schedule_record_upkeep();
    for (const auto& [service, row] : rows)
        on_row(state_of(service), row);
    for (auto& [service, state] : services_)
    {
        // Rows are never removed, so a row that is missing after a restore was
        // lost. Without one, the watch may be behind this host's own write.
        bool is_lost = state.row_version_ != 0 &&
                       era_of(state.row_version_) < era &&
                       !rows.contains(service);
        if (!is_lost)
            continue;
        state.row_version_ = 0;
        on_row_outdated(state, 0);
    }
}

void takeover_driver::on_row_outdated(service_state& state,
                                      std::int64_t stored_token)
{
    std::int64_t delay_ms =
        std::min(rank_of(state.name_) * options_.write_back_step_ms_,
                 options_.max_write_back_delay_ms_);
    state.write_back_at_ = monotonic_now() + delay_ms;
    log_line(log_level::info, "takeover_row_outdated",
             {{"service", state.name_},
              {"token", stored_token},
              {"known_token", state.row_.token_},
              {"known_stage", state.row_.stage_},
              {"write_back_in_ms", delay_ms}});
    schedule_tick();
}

void takeover_driver::publish_row(const service_state& state)
{
    const takeover_row& row = state.row_;
    if (row.stage_ == "done" && !row.endpoint_.empty())
        primary_changed_(state.name_, row.endpoint_, state.row_version_);
    pending_changed_(state.name_,
                     pending_promotion_of(row, state.row_received_at_));
}

void takeover_driver::on_row(service_state& state, const table_row& row)
{
    if (row.version_ <= state.row_version_)
        return;
    auto decoded = decode_text<takeover_row>(row.value_);
    if (!decoded)
    {
        log_line(
            log_level::error, "takeover_row_invalid",
            {{"service", state.name_}, {"detail", decoded.error().detail_}});
        return;
    }
    state.row_version_ = row.version_;
    if (is_earlier(*decoded, state.row_))
        return on_row_outdated(state, decoded->token_);
    state.write_back_at_ = never;
    state.row_ = *decoded;
    state.row_received_at_ = monotonic_now();
    state.trigger_.on_row(*decoded, state.row_received_at_);
    publish_row(state);
    bool confirms_claim = state.claim_ &&
                          state.claim_->holder_ == decoded->holder_ &&
                          state.claim_->token_ == decoded->token_;
    if (confirms_claim)
        start_attempt(state, row.version_);
    schedule_tick();
}

void takeover_driver::write_back(service_state& state, instant now)
{
    constexpr std::int64_t retry_ms = 1000;
    state.write_back_at_ = now + retry_ms;
    write_row(state,
              make_restored_row(state.row_, now - state.row_received_at_),
              [&state](row_outcome outcome)
              {
                  if (outcome == row_outcome::written)
                      state.write_back_at_ = never;
              });
}

void takeover_driver::write_row(service_state& state, const takeover_row& row,
                                row_handler done)
{
    write_row(state, row, {{options_.table_, state.name_, state.row_version_}},
              std::move(done));
}

void takeover_driver::write_claim(service_state& state, const takeover_row& row,
                                  row_handler done)
{
    write_row(state, row,
              {{options_.table_, state.name_, state.row_version_},
               {options_.members_table_, state.name_, state.record_version_}},
              std::move(done));
}

void takeover_driver::write_row(service_state& state, const takeover_row& row,
                                std::vector<row_precondition> expected,
                                row_handler done)
{
    table_transaction change{.expected_ = std::move(expected),
                             .put_ = {{.table_ = options_.table_,
                                       .key_ = state.name_,
                                       .value_ = encode(row).dump()}}};
    store_.transact(
        change,
        [this, &state, row, change, expected_version = state.row_version_,
         done = std::move(done), alive = std::weak_ptr<bool>(alive_)](
            const result<transaction_answer>& answer)
        {
            if (alive.expired())
                return;
            bool applied = answer && answer->applied_;
            if (applied && answer->current_.version_ > state.row_version_)
            {
                state.row_ = row;
                state.row_version_ = answer->current_.version_;
                state.row_received_at_ = monotonic_now();
                state.trigger_.on_row(row, state.row_received_at_);
                publish_row(state);
            }
            if (!applied)
                log_line(log_level::info, "takeover_row_not_written",
                         {{"service", state.name_},
                          {"stage", row.stage_},
                          {"expected_version", number_of(expected_version)},
                          {"reason", answer ? "a row has another version"
                                            : answer.error().detail_}});
            if (answer && !applied)
                on_current_rows(state, change.expected_, answer->current_);
            done(applied  ? row_outcome::written
                 : answer ? row_outcome::refused
                          : row_outcome::unknown);
        });
}

void takeover_driver::on_current_rows(
    service_state& state, std::span<const row_precondition> expected,
    const table_snapshot& current)
{
    bool has_record = false;
    // The watch may be behind.
    for (const auto& stored : current.rows_)
    {
        bool is_record = stored.table_ == options_.members_table_;
        has_record = has_record || is_record;
        if (is_record)
            on_record(state, stored);
        else
            on_row(state, stored);
    }
    bool record_expected =
        std::any_of(expected.begin(), expected.end(),
                    [this](const row_precondition& row)
                    {
                        return row.table_ == options_.members_table_;
                    });
    if (record_expected && !has_record)
        forget_record(state);
}

} // namespace tanagerspan
