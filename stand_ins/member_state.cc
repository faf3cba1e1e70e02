#include "stand_ins/member_state.h"

#include <algorithm>
#include <charconv>

namespace tanagerspan
{
namespace
{

constexpr std::int64_t transaction_idle_ms = 5000;
constexpr std::int64_t max_reported_silence_ms = 1'000'000;

std::int64_t parse_number(const std::string& text)
{
    std::int64_t out = 0;
    std::from_chars(text.data(), text.data() + text.size(), out);
    return out;
}

void apply(std::map<std::string, std::string>& data, const operation& op)
{
    if (op.op_ == "put" || op.op_ == "insert")
        data[op.key_] = op.value_;
    if (op.op_ == "remove")
        data.erase(op.key_);
    if (op.op_ == "add")
        data[op.key_] = std::to_string(parse_number(data[op.key_]) +
                                       parse_number(op.value_));
}

} // namespace

operation_result member_state::evaluate(const rows& data, const operation& op)
{
    operation_result out;
    if (op.op_ == "list")
    {
        for (auto at = data.lower_bound(op.key_);
             at != data.end() && at->first.starts_with(op.key_); ++at)
        {
            out.rows_.push_back(at->first);
            out.rows_.push_back(at->second);
        }
        out.found_ = !out.rows_.empty();
        return out;
    }
    auto at = data.find(op.key_);
    out.found_ = at != data.end();
    if (out.found_ && op.op_ == "get")
        out.value_ = at->second;
    return out;
}

log_position member_state::position() const
{
    return {.term_ = log_.empty() ? 0 : log_.back().term_,
            .index_ = log_.size()};
}

void member_state::append(log_entry entry)
{
    log_.push_back(std::move(entry));
    const auto& kept = log_.back();
    for (const auto& op : kept.operations_)
    {
        apply(data_, op);
        last_change_[op.key_] = log_.size();
    }
    if (!kept.request_id_.empty())
        request_ids_[kept.request_id_] = log_.size();
}

void member_state::rebuild_from_log()
{
    auto entries = std::move(log_);
    log_.clear();
    data_.clear();
    last_change_.clear();
    request_ids_.clear();
    for (auto& entry : entries)
        append(std::move(entry));
}

result<void> member_state::check_primary(std::uint64_t term, instant now) const
{
    if (term != promised_)
        return fail(error_code::fenced,
                    "promised term is " + std::to_string(promised_));
    if (!leading_)
        return fail(error_code::not_primary);
    if (now < writes_held_until_)
        return fail(error_code::leaving, "held for a planned move");
    return {};
}

result<execute_answer> member_state::execute(const execute_request& request,
                                             instant now)
{
    if (auto leads = check_primary(request.term_, now); !leads)
        return tl::unexpected(leads.error());
    if (!request.request_id_.empty())
    {
        auto known = request_ids_.find(request.request_id_);
        if (known != request_ids_.end())
            return execute_answer{.position_ = position(),
                                  .replayed_ = true,
                                  .results_ = log_[known->second - 1].results_};
    }
    log_entry entry{.term_ = promised_,
                    .request_id_ = request.request_id_,
                    .operations_ = {},
                    .results_ = {}};
    std::map<std::string, bool> inserted;
    for (const auto& op : request.operations_)
    {
        if (!is_known(op))
            return fail(error_code::malformed, "no such operation: " + op.op_);
        auto found = evaluate(data_, op);
        if (op.op_ == "insert" && (found.found_ || inserted[op.key_]))
            return fail(error_code::conflict, "exists: " + op.key_);
        if (op.op_ == "insert")
            inserted[op.key_] = true;
        entry.results_.push_back(std::move(found));
        if (!is_read(op))
            entry.operations_.push_back(op);
    }
    append(std::move(entry));
    return execute_answer{.position_ = position(),
                          .results_ = log_.back().results_};
}

result<execute_answer>
member_state::read(const std::vector<operation>& operations) const
{
    execute_answer out{.position_ = position(), .results_ = {}};
    for (const auto& op : operations)
    {
        if (!is_read(op))
            return fail(error_code::malformed, "not a read: " + op.op_);
        out.results_.push_back(evaluate(data_, op));
    }
    return out;
}

member_status member_state::status(instant now) const
{
    return {.promised_ = promised_,
            .claimant_ = claimant_,
            .position_ = position(),
            .leading_ = leading_,
            .leaving_ = leaving_,
            .primary_silence_ms_ = leading_
                                       ? 0
                                       : std::min(max_reported_silence_ms,
                                                  now - primary_contact_at_)};
}

member_status member_state::promise(const term_order& order, instant now)
{
    if (order.term_ > promised_)
    {
        promised_ = order.term_;
        claimant_ = order.claimant_;
        leading_ = false;
        transactions_.clear();
    }
    return status(now);
}

member_status member_state::lead(const term_order& order, instant now)
{
    bool matches = order.term_ == promised_ && order.claimant_ == claimant_;
    if (matches && !leading_ && position().term_ < promised_)
    {
        leading_ = true;
        writes_held_until_ = never;
        append({.term_ = promised_,
                .request_id_ = {},
                .operations_ = {},
                .results_ = {}});
    }
    return status(now);
}

member_status member_state::hold(std::uint64_t term, std::int64_t hold_ms,
                                 instant now)
{
    if (leading_ && term == promised_)
        writes_held_until_ = now + hold_ms;
    return status(now);
}

result<pull_answer> member_state::serve_pull(const pull_request& request,
                                             std::size_t max_entries) const
{
    if (!leading_ || request.promised_ > promised_)
        return fail(error_code::not_primary);
    pull_answer out{.term_ = promised_, .claimant_ = claimant_, .entries_ = {}};
    if (request.index_ > log_.size() ||
        (request.index_ > 0 &&
         log_[request.index_ - 1].term_ != request.last_term_))
    {
        out.diverged_ = true;
        return out;
    }
    auto first = log_.begin() + static_cast<std::ptrdiff_t>(request.index_);
    auto count = std::min(max_entries, log_.size() - request.index_);
    out.entries_.assign(first, first + static_cast<std::ptrdiff_t>(count));
    return out;
}

pull_request member_state::make_pull_request() const
{
    return {.promised_ = promised_,
            .index_ = log_.size(),
            .last_term_ = position().term_};
}

void member_state::record_primary_contact(std::uint64_t term, instant now)
{
    if (term >= promised_)
        primary_contact_at_ = now;
}

void member_state::apply_pull(const pull_request& asked, const pull_answer& got)
{
    // Ignores a response to an outdated request or from a replaced primary.
    if (got.term_ < promised_ || (leading_ && got.term_ == promised_) ||
        asked.index_ != log_.size() || asked.last_term_ != position().term_)
        return;
    if (got.term_ > promised_)
    {
        promised_ = got.term_;
        claimant_ = got.claimant_;
        leading_ = false;
        transactions_.clear();
    }
    if (got.diverged_)
    {
        log_.pop_back();
        rebuild_from_log();
        return;
    }
    for (const auto& entry : got.entries_)
        append(entry);
}

void member_state::expire_transactions(instant now)
{
    std::erase_if(transactions_,
                  [now](const auto& item)
                  {
                      return now - item.second.last_used_ > transaction_idle_ms;
                  });
}

result<std::string> member_state::begin(std::uint64_t term, instant now)
{
    expire_transactions(now);
    if (auto leads = check_primary(term, now); !leads)
        return tl::unexpected(leads.error());
    std::string handle =
        std::to_string(promised_) + "." + std::to_string(next_transaction_++);
    transactions_[handle] = {.overlay_ = {},
                             .operations_ = {},
                             .results_ = {},
                             .start_index_ = log_.size(),
                             .last_used_ = now};
    return handle;
}

result<execute_answer>
member_state::run_in(const std::string& handle,
                     const std::vector<operation>& operations, instant now)
{
    expire_transactions(now);
    auto at = transactions_.find(handle);
    if (at == transactions_.end())
        return fail(error_code::unknown_transaction, handle);
    auto& open = at->second;
    open.last_used_ = now;
    execute_answer out{.position_ = position(), .results_ = {}};
    for (const auto& op : operations)
    {
        if (!is_known(op))
            return fail(error_code::malformed, "no such operation: " + op.op_);
        rows merged = data_;
        for (const auto& done : open.operations_)
            apply(merged, done);
        auto found = evaluate(merged, op);
        if (op.op_ == "insert" && found.found_)
            return fail(error_code::conflict, "exists: " + op.key_);
        open.operations_.push_back(op);
        open.results_.push_back(found);
        out.results_.push_back(std::move(found));
    }
    return out;
}

result<execute_answer> member_state::commit(const std::string& handle,
                                            const std::string& request_id,
                                            instant now)
{
    expire_transactions(now);
    auto at = transactions_.find(handle);
    if (at == transactions_.end())
        return fail(error_code::unknown_transaction, handle);
    transaction open = std::move(at->second);
    transactions_.erase(at);
    if (auto known = request_ids_.find(request_id);
        !request_id.empty() && known != request_ids_.end())
        return execute_answer{.position_ = position(),
                              .replayed_ = true,
                              .results_ = log_[known->second - 1].results_};
    if (auto leads = check_primary(promised_, now); !leads)
        return tl::unexpected(leads.error());
    log_entry entry{.term_ = promised_,
                    .request_id_ = request_id,
                    .operations_ = {},
                    .results_ = std::move(open.results_)};
    for (auto& op : open.operations_)
    {
        auto changed = last_change_.find(op.key_);
        if (changed != last_change_.end() &&
            changed->second > open.start_index_)
            return fail(error_code::conflict, "changed since: " + op.key_);
        if (!is_read(op))
            entry.operations_.push_back(std::move(op));
    }
    append(std::move(entry));
    return execute_answer{.position_ = position(),
                          .results_ = log_.back().results_};
}

void member_state::rollback(const std::string& handle)
{
    transactions_.erase(handle);
}

} // namespace tanagerspan
