#include "node/statement_run.h"

#include <string>
#include <utility>

namespace tanagerspan
{

attempt_step step_in_flight(const run_options& run)
{
    if (!run.in_transaction())
        return run.writes_ ? attempt_step::autocommit_write
                           : attempt_step::autocommit_read;
    bool is_commit = run.statement_.kind_ == statement_kind::commit;
    bool wrote = run.transaction_ && run.transaction_->wrote_;
    if (is_commit)
        return wrote ? attempt_step::commit : attempt_step::commit_read_only;
    return run.transaction_ ? attempt_step::later_in_transaction
                            : attempt_step::first_in_transaction;
}

pinned_transaction updated_transaction(const run_options& run,
                                       pinned_transaction location)
{
    pinned_transaction open = run.transaction_.value_or(std::move(location));
    open.ran_any_ = true;
    open.wrote_ = open.wrote_ || run.writes_;
    return open;
}

run_outcome refused_outcome(const run_options& run, reply_error error,
                            std::string_view why)
{
    reply answer{.error_ = error, .text_ = std::string(why)};
    bool is_commit = run.statement_.kind_ == statement_kind::commit;
    answer.state_ = run.in_transaction() && !is_commit
                        ? transaction_state::failed
                        : transaction_state::idle;
    return {.answer_ = std::move(answer), .rolled_back_ = run.in_transaction()};
}

} // namespace tanagerspan
