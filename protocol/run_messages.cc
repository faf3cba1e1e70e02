#include "protocol/run_messages.h"

#include <algorithm>

namespace tanagerspan
{
namespace
{

enum begin_code : std::int64_t
{
    no_begin,
    read_write_begin,
    read_only_begin
};

std::int64_t code_of(std::optional<statement_kind> begin)
{
    if (!begin)
        return no_begin;
    return *begin == statement_kind::begin ? read_write_begin : read_only_begin;
}

std::optional<statement_kind> begin_of(std::int64_t code)
{
    if (code == no_begin)
        return std::nullopt;
    return code == read_write_begin ? statement_kind::begin
                                    : statement_kind::begin_read_only;
}

} // namespace

run_request to_run_request(const remote_statement& from, instant now)
{
    const statement& what = from.statement_;
    const database_route& route = from.route_;
    run_request out{.kind_ = static_cast<std::int64_t>(what.kind_),
                    .id_ = what.id_,
                    .name_ = what.name_,
                    .arguments_ = what.arguments_,
                    .writes_ = from.writes_,
                    .begin_ = code_of(from.begin_),
                    .transaction_ = from.transaction_,
                    .route_ = route.name_,
                    .database_ = route.database_,
                    .service_ = route.service_,
                    .account_ = from.account_,
                    .consistency_ =
                        static_cast<std::int64_t>(route.consistency_),
                    .timeout_ms_ = route.timeout_ms_,
                    .target_latency_ms_ = route.target_latency_ms_,
                    .max_staleness_ms_ = route.max_staleness_ms_,
                    .priority_ = route.priority_,
                    .age_ms_ = now - from.arrived_,
                    .values_ = from.values_};
    if (from.shape_)
    {
        out.has_shape_ = true;
        out.shape_writes_ = from.shape_->writes_;
        out.shape_ = from.shape_->shape_;
    }
    if (from.own_commit_)
    {
        out.has_commit_ = true;
        out.commit_term_ = from.own_commit_->position_.term_;
        out.commit_index_ = from.own_commit_->position_.index_;
        out.commit_age_ms_ = now - from.own_commit_->known_since_;
    }
    out.must_accept_ = from.must_accept_;
    if (from.valid_until_)
    {
        out.has_validity_ = true;
        out.valid_ms_ = std::max<std::int64_t>(*from.valid_until_ - now, 0);
    }
    return out;
}

remote_statement from_run_request(const run_request& from, instant now)
{
    remote_statement out{
        .statement_ = {.kind_ = static_cast<statement_kind>(from.kind_),
                       .id_ = from.id_,
                       .name_ = from.name_,
                       .arguments_ = from.arguments_,
                       .writes_ = from.writes_},
        .writes_ = from.writes_,
        .begin_ = begin_of(from.begin_),
        .transaction_ = from.transaction_,
        .route_ = {.name_ = from.route_,
                   .database_ = from.database_,
                   .service_ = from.service_,
                   .consistency_ =
                       static_cast<read_consistency>(from.consistency_),
                   .timeout_ms_ = from.timeout_ms_,
                   .target_latency_ms_ = from.target_latency_ms_,
                   .max_staleness_ms_ = from.max_staleness_ms_,
                   .priority_ = from.priority_},
        .account_ = from.account_,
        .arrived_ = now - from.age_ms_,
        .values_ = from.values_};
    if (from.has_shape_)
        out.shape_ = prepared_statement{from.shape_writes_, from.shape_};
    if (from.has_commit_)
        out.own_commit_ = {{from.commit_term_, from.commit_index_},
                           now - from.commit_age_ms_};
    out.must_accept_ = from.must_accept_;
    if (from.has_validity_)
        out.valid_until_ = now + from.valid_ms_;
    return out;
}

run_reply to_run_reply(const remote_outcome& from)
{
    const reply& answer = from.answer_;
    run_reply out{.not_served_ = from.not_served_,
                  .rows_ = answer.rows_,
                  .text_ = answer.text_,
                  .state_ = static_cast<std::int64_t>(answer.state_),
                  .transaction_open_ = from.transaction_open_,
                  .rolled_back_ = from.rolled_back_};
    if (answer.error_)
        out.error_ = static_cast<std::int64_t>(*answer.error_);
    if (answer.position_)
    {
        out.has_position_ = true;
        out.term_ = answer.position_->term_;
        out.index_ = answer.position_->index_;
    }
    return out;
}

remote_outcome from_run_reply(const run_reply& from)
{
    remote_outcome out{
        .not_served_ = from.not_served_,
        .answer_ = {.rows_ = from.rows_,
                    .text_ = from.text_,
                    .state_ = static_cast<transaction_state>(from.state_)},
        .transaction_open_ = from.transaction_open_,
        .rolled_back_ = from.rolled_back_};
    if (from.error_ >= 0)
        out.answer_.error_ = static_cast<reply_error>(from.error_);
    if (from.has_position_)
        out.answer_.position_ = log_position{from.term_, from.index_};
    return out;
}

} // namespace tanagerspan
