#include "coordination/group_monitor.h"

#include <algorithm>

namespace tanagerspan
{
namespace
{

constexpr std::size_t max_age_marks = 128;
constexpr std::int64_t mark_spacing_ms = 20;
constexpr std::int64_t failed_probe_pause_ms = 100;
constexpr std::int64_t term_repeat_ms = 200;
constexpr std::uint64_t max_jitter_ms = 100;
constexpr std::int64_t hold_repeat_ms = 300;

} // namespace

group_monitor::group_monitor(options opts, instant now)
    : options_(std::move(opts)), exchanges_(options_.members_.size()),
      term_sent_at_(options_.members_.size(), never), random_(options_.seed_)
{
    view_.service_ = options_.service_;
    for (const auto& [name, address] : options_.members_)
        view_.members_.push_back(
            {.name_ = name, .address_ = address, .status_ = {}});
    for (auto& exchange : exchanges_)
        exchange.next_at_ = now;
}

std::vector<group_monitor::action> group_monitor::tick(instant now)
{
    std::vector<action> out;
    send_probes(now, out);
    send_term_to_outdated(now, out);
    move_from_leaving(now);
    run_move(now, out);
    check_suspicion(now, out);
    run_promotion(now, out);
    return out;
}

void group_monitor::send_probes(instant now, std::vector<action>& out)
{
    for (std::size_t i = 0; i < exchanges_.size(); ++i)
    {
        auto& exchange = exchanges_[i];
        const auto& status = view_.members_[i].status_;
        if (exchange.awaiting_answer_ &&
            now - exchange.asked_ >= options_.probe_timeout_ms_)
        {
            exchange.awaiting_answer_ = false;
            exchange.next_at_ = now;
        }
        if (!exchange.awaiting_answer_ && now >= exchange.next_at_)
        {
            exchange.awaiting_answer_ = true;
            exchange.asked_ = now;
            status_request ask{.known_ = status.position_,
                               .known_promised_ = status.promised_,
                               .wait_ms_ = options_.probe_wait_ms_};
            out.emplace_back(probe{i, ask, now});
        }
        if (exchange.awaiting_refresh_ &&
            now - exchange.refresh_asked_at_ >= options_.probe_timeout_ms_)
            exchange.awaiting_refresh_ = false;
        if (refresh_wanted_ && !exchange.awaiting_refresh_)
        {
            exchange.awaiting_refresh_ = true;
            exchange.refresh_asked_at_ = now;
            out.emplace_back(probe{i, status_request{}, now});
        }
    }
    refresh_wanted_ = false;
}

void group_monitor::on_status(std::size_t member, instant asked,
                              const std::optional<member_status>& status,
                              instant now)
{
    auto& exchange = exchanges_[member];
    if (exchange.awaiting_answer_ && exchange.asked_ == asked)
    {
        exchange.awaiting_answer_ = false;
        exchange.next_at_ = status ? now : now + failed_probe_pause_ms;
    }
    if (exchange.awaiting_refresh_ && exchange.refresh_asked_at_ == asked)
        exchange.awaiting_refresh_ = false;
    if (status)
        accept(member, asked, *status, now);
}

void group_monitor::accept(std::size_t member, instant asked,
                           const member_status& status, instant now)
{
    auto& stored = view_.members_[member];
    // Answers may arrive out of order: an answer is outdated if its term is
    // lower or its request was sent before that of the stored answer.
    if (status.promised_ < stored.status_.promised_)
        return;
    if (asked < stored.asked_ && status.promised_ == stored.status_.promised_)
        return;
    stored.status_ = status;
    stored.asked_ = std::max(stored.asked_, asked);
    stored.answered_ = now;
    changed_ = true;
    add_mark(now);
}

void group_monitor::add_mark(instant now)
{
    auto primary = view_.primary();
    if (!primary)
        return;
    const auto& status = view_.members_[*primary].status_;
    instant since = current_since(view_, status.promised_);
    if (since == never || status.position_.term_ != status.promised_)
        return;
    auto& marks = view_.marks_;
    if (!marks.empty() && (since - marks.back().at_ < mark_spacing_ms ||
                           marks.back().position_ > status.position_))
        return;
    // While nothing is written, the last mark is moved forward in time.
    if (marks.size() > 1 && marks.back().position_ == status.position_)
        marks.back().at_ = since;
    else
        marks.push_back({since, status.position_});
    if (marks.size() > max_age_marks)
        marks.erase(marks.begin());
    static_cast<void>(now);
}

void group_monitor::refresh_view()
{
    refresh_wanted_ = true;
}

bool group_monitor::take_changed()
{
    return std::exchange(changed_, false);
}

// Sends the current term to members that missed the promotion. This matters
// most for a former primary, which then stops serving and follows.
void group_monitor::send_term_to_outdated(instant now, std::vector<action>& out)
{
    auto primary = view_.primary();
    if (!primary)
        return;
    const auto& primary_status = view_.members_[*primary].status_;
    for (std::size_t i = 0; i < term_sent_at_.size(); ++i)
    {
        const auto& member = view_.members_[i];
        bool outdated = member.status_.promised_ < primary_status.promised_ &&
                        member.answered_ != never &&
                        now - member.answered_ < options_.silence_ms_;
        if (!outdated || now - term_sent_at_[i] < term_repeat_ms)
            continue;
        term_sent_at_[i] = now;
        out.emplace_back(
            send_step{{promotion::step::promise,
                       i,
                       {primary_status.promised_, primary_status.claimant_}}});
    }
}

std::size_t group_monitor::members_without_primary(instant now) const
{
    return static_cast<std::size_t>(std::count_if(
        view_.members_.begin(), view_.members_.end(),
        [&](const member_view& member)
        {
            return member.answered_ != never &&
                   now - member.answered_ < options_.silence_ms_ &&
                   !member.status_.leading_ &&
                   member.status_.primary_silence_ms_ >= options_.silence_ms_;
        }));
}

void group_monitor::check_suspicion(instant now, std::vector<action>& out)
{
    // After a claim by any proxy the members need time to find the new primary;
    // until then the silence that they report is the old primary's.
    if (std::uint64_t highest = view_.highest_promised();
        highest > last_promised_seen_)
    {
        last_promised_seen_ = highest;
        no_claim_until_ = now + options_.silence_ms_;
    }
    if (members_without_primary(now) < view_.majority())
    {
        suspected_since_ = never;
        return;
    }
    if (suspected_since_ == never && now >= no_claim_until_)
    {
        suspected_since_ = now;
        jitter_ms_ = static_cast<std::int64_t>(random_() % max_jitter_ms);
        out.emplace_back(decision{"suspicion",
                                  "a majority of members reports no primary",
                                  last_promised_seen_});
    }
    auto rank = static_cast<std::int64_t>(rank_);
    auto wait_ms = rank * (options_.rank_delay_ms_ + jitter_ms_);
    if (promotion_ || now < no_claim_until_ || suspected_since_ == never ||
        now - suspected_since_ < wait_ms)
        return;
    claim(now, std::nullopt, "a majority of members reports no primary", out);
}

void group_monitor::claim(instant now, std::optional<std::size_t> preferred,
                          std::string cause, std::vector<action>& out)
{
    last_claimed_ = std::max(last_claimed_, view_.highest_promised()) + 1;
    last_promised_seen_ = last_claimed_;
    no_claim_until_ = now + options_.silence_ms_;
    promotion_.emplace(
        promotion::options{.members_ = view_.members_.size(),
                           .order_ = {last_claimed_, options_.claimant_},
                           .preferred_ = preferred,
                           .suspect_ =
                               preferred ? std::nullopt : view_.primary()},
        now);
    out.emplace_back(decision{"claim", std::move(cause), last_claimed_});
}

void group_monitor::run_promotion(instant now, std::vector<action>& out)
{
    if (!promotion_)
        return;
    for (auto& message : promotion_->tick(now))
        out.emplace_back(send_step{message});
    auto phase = promotion_->current();
    if (phase != promotion::phase::done && phase != promotion::phase::failed)
        return;
    bool done = phase == promotion::phase::done;
    out.emplace_back(
        decision{done ? "promotion" : "promotion_failed",
                 done ? view_.members_[*promotion_->chosen()].name_
                      : "a higher claim was made, or no majority answered",
                 promotion_->order().term_});
    promotion_.reset();
    suspected_since_ = never;
    static_cast<void>(now);
}

void group_monitor::on_step(promotion::step kind, std::size_t member,
                            instant asked,
                            const std::optional<member_status>& status,
                            instant now)
{
    if (!status)
        return;
    accept(member, asked, *status, now);
    if (promotion_)
        promotion_->on_answer(kind, member, *status);
}

result<void> group_monitor::move_primary(std::string_view target, instant now)
{
    auto index = view_.find(target);
    if (!index)
        return fail(error_code::not_found, "no member of that name");
    if (!view_.primary())
        return fail(error_code::no_primary, "the group has no primary");
    if (*view_.primary() != *index)
        move_ = planned_move{*index, now + options_.move_hold_ms_};
    return {};
}

// Starts a planned move away from a primary that is leaving, so that it gets no
// new work. The proxy of rank 0 does this; the others only if it was not done
// in time.
void group_monitor::move_from_leaving(instant now)
{
    auto primary = view_.primary();
    if (!primary || !view_.members_[*primary].status_.leaving_)
    {
        leaving_since_ = never;
        return;
    }
    if (leaving_since_ == never)
        leaving_since_ = now;
    auto wait_ms =
        static_cast<std::int64_t>(rank_) * options_.leaving_rank_delay_ms_;
    if (move_ || now < next_leaving_move_ || now - leaving_since_ < wait_ms)
        return;
    std::optional<std::size_t> best;
    for (std::size_t i = 0; i < view_.members_.size(); ++i)
    {
        const auto& member = view_.members_[i];
        bool eligible = i != *primary && !member.status_.leaving_ &&
                        now - member.answered_ < options_.silence_ms_;
        if (eligible && (!best || view_.members_[*best].status_.position_ <
                                      member.status_.position_))
            best = i;
    }
    if (best)
        move_ = planned_move{*best, now + options_.move_hold_ms_};
}

void group_monitor::on_held(std::size_t member, std::uint64_t term, instant now)
{
    auto primary = view_.primary();
    if (!move_ || !primary || *primary != member ||
        view_.members_[member].status_.promised_ != term)
        return;
    move_->held_term_ = term;
    move_->held_at_ = now;
}

// Advances a planned move: the primary accepts no writes for a bounded time,
// and once the target's log has reached the primary's, the target is promoted.
void group_monitor::run_move(instant now, std::vector<action>& out)
{
    if (!move_)
        return;
    auto primary = view_.primary();
    if (!primary || promotion_ || now >= move_->until_ ||
        *primary == move_->target_)
    {
        bool arrived = primary && *primary == move_->target_;
        if (!promotion_)
        {
            out.emplace_back(decision{arrived ? "move_done" : "move_given_up",
                                      view_.members_[move_->target_].name_,
                                      view_.highest_promised()});
            // Without this pause, repeated holds would stop writes permanently.
            next_leaving_move_ =
                arrived ? now : now + options_.leaving_retry_ms_;
            move_.reset();
        }
        return;
    }
    const auto& primary_status = view_.members_[*primary].status_;
    const auto& target = view_.members_[move_->target_];
    // A hold is valid for one term; a new primary needs a new one.
    if (move_->held_term_ != primary_status.promised_ &&
        now - move_->hold_sent_ >= hold_repeat_ms)
    {
        move_->hold_sent_ = now;
        out.emplace_back(
            hold{*primary, primary_status.promised_, options_.move_hold_ms_});
    }
    if (move_->held_term_ != primary_status.promised_)
        return;
    refresh_view();
    // Only answers to requests sent during the hold show final positions.
    bool final = target.asked_ > move_->held_at_ &&
                 view_.members_[*primary].asked_ > move_->held_at_;
    if (final && target.status_.position_ == primary_status.position_)
        claim(now, move_->target_, "planned move", out);
}

} // namespace tanagerspan
