#include "node/takeover_driver.h"

#include <algorithm>
#include <set>
#include <utility>

#include <boost/asio/post.hpp>

#include "coordination/home_ranking.h"
#include "transport/json_log.h"
#include "transport/monotonic_clock.h"

namespace tanagerspan
{
namespace
{

statement statement_of(const takeover_action& action)
{
    using kind = takeover_action::kind;
    if (action.kind_ == kind::pause)
        return {.kind_ = statement_kind::pause_receiving,
                .term_ = action.term_};
    if (action.kind_ == kind::step_down)
        return {.kind_ = statement_kind::step_down, .term_ = action.term_};
    if (action.kind_ == kind::resume)
        return {.kind_ = statement_kind::resume_receiving};
    return {.kind_ = statement_kind::status};
}

} // namespace

takeover_driver::takeover_driver(boost::asio::io_context& loop,
                                 table_store& store, promotion_gate& gate,
                                 options opts, leader_handler leads)
    : loop_(loop), store_(store), gate_(gate), options_(std::move(opts)),
      leads_(std::move(leads)), timer_(loop)
{
}

takeover_driver::~takeover_driver()
{
    *alive_ = false;
}

takeover_driver::service_state&
takeover_driver::state_of(const std::string& service)
{
    auto found = services_.find(service);
    if (found != services_.end())
        return found->second;
    service_state fresh{.name_ = service,
                        .trigger_ = takeover_trigger(options_.trigger_)};
    return services_.emplace(service, std::move(fresh)).first->second;
}

void takeover_driver::set_endpoints(const endpoint_list& endpoints)
{
    std::map<std::string, std::set<std::string>> known;
    for (auto& [name, at] : services_)
    {
        for (const auto& entry : std::exchange(at.members_, {}))
            known[name].insert(entry.id_);
    }
    std::vector<std::pair<std::string, std::string>> joined;
    for (const auto& entry : endpoints)
    {
        state_of(entry.service_).members_.push_back(entry);
        if (!known[entry.service_].contains(entry.id_))
            joined.emplace_back(entry.service_, entry.id_);
    }
    instant now = monotonic_now();
    for (auto& [name, at] : services_)
        at.departed_.update(at.members_, now);
    for (const auto& [service, id] : joined)
    {
        service_state& at = state_of(service);
        if (at.attempt_)
            perform(at, at.attempt_->on_joined(id, now));
    }
}

void takeover_driver::set_claims(home_plan_ptr plan,
                                 const std::vector<fleet_host>& hosts)
{
    plan_ = std::move(plan);
    hosts_.clear();
    for (const auto& host : hosts)
        hosts_.push_back(host.name_);
}

std::int64_t takeover_driver::rank_of(const std::string& service) const
{
    std::int64_t rank = 0;
    if (plan_ && plan_->contains(service))
    {
        for (const auto& home : plan_->at(service).claims_)
        {
            if (home.name_ == options_.host_name_)
                return rank;
            ++rank;
        }
    }
    auto order = rank_homes(service, hosts_, hosts_.size());
    auto own = std::find(order.begin(), order.end(), options_.host_name_);
    return rank + (own - order.begin());
}

void takeover_driver::on_health(const std::string& service,
                                const primary_health& health)
{
    service_state& at = state_of(service);
    at.health_ = health;
    at.departed_.bound_logs(health.marks_);
    at.trigger_.on_health(health, monotonic_now());
    arm();
}

void takeover_driver::on_row(const std::string& service, const table_row& row)
{
    service_state& at = state_of(service);
    if (row.version_ <= at.row_version_)
        return;
    auto got = decode_text<takeover_row>(row.value_);
    if (!got)
    {
        log_line(log_level::error, "takeover_row_unusable",
                 {{"service", service}, {"detail", got.error().detail_}});
        return;
    }
    at.row_ = *got;
    at.row_version_ = row.version_;
    at.row_seen_ = monotonic_now();
    at.trigger_.on_row(*got, at.row_seen_);
    if (got->stage_ == "done" && !got->endpoint_.empty())
        leads_(service, got->endpoint_, row.version_);
    bool ours = at.claim_ && at.claim_->holder_ == got->holder_ &&
                at.claim_->token_ == got->token_;
    if (ours)
        on_claimed(at, row.version_);
    arm();
}

void takeover_driver::arm()
{
    bool needed = std::any_of(services_.begin(), services_.end(),
                              [](const auto& one)
                              {
                                  return one.second.attempt_ ||
                                         one.second.claim_ ||
                                         one.second.trigger_.needs_check();
                              });
    if (armed_ || !needed)
        return;
    armed_ = true;
    timer_.expires_after(std::chrono::milliseconds(options_.tick_ms_));
    timer_.async_wait(
        [this](io_error cancelled)
        {
            armed_ = false;
            if (!cancelled)
                tick();
        });
}

void takeover_driver::tick()
{
    instant now = monotonic_now();
    for (auto& [name, at] : services_)
    {
        if (at.claim_ && now - at.claimed_at_ > options_.claim_ms_)
            at.claim_.reset();
        if (at.attempt_)
        {
            perform(at, at.attempt_->tick(now));
            replace_silent_links(at, now);
        }
        else if (!at.claim_)
        {
            if (auto reason = at.trigger_.check(rank_of(name), now))
                claim(at, *reason, now);
        }
    }
    arm();
}

void takeover_driver::claim(service_state& at, takeover_reason reason,
                            instant now)
{
    takeover_row row =
        make_claim_row(at.row_, now - at.row_seen_, options_.host_name_);
    at.claim_ = row;
    at.claimed_at_ = now;
    at.reason_ = reason;
    log_line(log_level::info, "takeover_claim",
             {{"service", at.name_},
              {"reason", std::string(name_of(reason))},
              {"primary", at.health_.endpoint_id_},
              {"token", row.token_},
              {"ordered_before", row.ordered_},
              {"row_term", row.term_},
              {"floor_term", row.floor_.term_},
              {"floor_index", row.floor_.index_},
              {"primary_answered_ms_ago", now - at.health_.last_answer_},
              {"unanswered_ms", at.health_.unanswered_since_ == never
                                    ? 0
                                    : now - at.health_.unanswered_since_}});
    write_row(at, row,
              [this, &at, token = row.token_](bool applied)
              {
                  bool current = at.claim_ && at.claim_->token_ == token;
                  if (current && applied)
                      on_claimed(at, at.row_version_);
              });
}

void takeover_driver::write_row(service_state& at, const takeover_row& row,
                                std::function<void(bool)> done)
{
    table_transaction change{
        .expected_ = {{options_.table_, at.name_, at.row_version_}},
        .put_ = {{.table_ = options_.table_,
                  .key_ = at.name_,
                  .value_ = encode(row).dump()}}};
    store_.transact(
        change,
        [this, &at, row, done = std::move(done),
         alive =
             std::weak_ptr<bool>(alive_)](const result<transaction_answer>& got)
        {
            if (alive.expired())
                return;
            bool applied = got && got->applied_;
            if (applied && got->current_.version_ > at.row_version_)
            {
                at.row_ = row;
                at.row_version_ = got->current_.version_;
                at.row_seen_ = monotonic_now();
                at.trigger_.on_row(row, at.row_seen_);
                if (row.stage_ == "done" && !row.endpoint_.empty())
                    leads_(at.name_, row.endpoint_, at.row_version_);
            }
            if (!applied)
                log_line(log_level::info, "takeover_row_not_written",
                         {{"service", at.name_},
                          {"stage", row.stage_},
                          {"reason", got ? "another version stands"
                                         : got.error().detail_}});
            done(applied);
        });
}

void takeover_driver::on_claimed(service_state& at, std::int64_t row_version)
{
    takeover_row row = *std::exchange(at.claim_, std::nullopt);
    instant now = monotonic_now();
    at.row_ = row;
    at.row_version_ = std::max(at.row_version_, row_version);
    at.token_ = row.token_;
    at.links_.clear();
    at.attempt_ = std::make_unique<takeover>(
        options_.attempt_, takeover_task{.reason_ = at.reason_,
                                         .primary_id_ = at.health_.endpoint_id_,
                                         .members_ = members_of(at),
                                         .pending_ = pending_commands_of(
                                             row, now - at.claimed_at_),
                                         .floor_ = row.floor_,
                                         .term_ = row.term_,
                                         .claimed_at_ = at.claimed_at_});
    perform(at, at.attempt_->start(now));
}

std::vector<takeover_member>
takeover_driver::members_of(const service_state& at) const
{
    std::vector<takeover_member> out = at.departed_.members();
    for (const auto& entry : at.members_)
        out.push_back({.id_ = entry.id_, .leaving_ = entry.leaving_});
    return out;
}

void takeover_driver::record(service_state& at, const takeover_row& row,
                             recorded_handler then)
{
    auto done = [this, &at, then, token = at.token_](bool recorded)
    {
        if (at.attempt_ && at.token_ == token)
            perform(at, (at.attempt_.get()->*then)(recorded, monotonic_now()));
    };
    // A later claim that is already known must not be overwritten.
    if (at.row_.token_ == at.token_)
        return write_row(at, row, done);
    boost::asio::post(loop_,
                      [done, alive = std::weak_ptr<bool>(alive_)]
                      {
                          if (!alive.expired())
                              done(false);
                      });
}

void takeover_driver::perform(service_state& at,
                              const std::vector<takeover_action>& actions)
{
    using kind = takeover_action::kind;
    for (const auto& action : actions)
    {
        switch (action.kind_)
        {
        case kind::ask_status:
        case kind::pause:
        case kind::step_down:
        case kind::resume:
            ask(at, action.endpoint_id_, statement_of(action));
            break;
        case kind::record_target:
            record(at,
                   make_order_row(at.row_, action.endpoint_id_, action.term_,
                                  action.floor_, options_.attempt_.lease_ms_),
                   &takeover::on_target_recorded);
            break;
        case kind::record_end:
            record(at,
                   make_end_row(at.row_, action.endpoint_id_,
                                at.attempt_->pending_at(monotonic_now())),
                   &takeover::on_end_recorded);
            break;
        case kind::order:
            order(at, action.endpoint_id_);
            break;
        case kind::finish:
            finish(at, action);
            return;
        }
    }
}

const endpoint_entry* takeover_driver::entry_of(const service_state& at,
                                                const std::string& id) const
{
    for (const auto& one : at.members_)
    {
        if (one.id_ == id)
            return &one;
    }
    return at.departed_.find(id);
}

void takeover_driver::ask(service_state& at, const std::string& id,
                          const statement& what)
{
    const endpoint_entry* entry = entry_of(at, id);
    if (entry == nullptr)
        return;
    member_link& to = at.links_[id];
    std::weak_ptr<bool> alive = alive_;
    auto on_answer =
        [this, &at, id, alive, kind = what.kind_](const result<reply>& got)
    {
        if (alive.expired())
            return;
        std::optional<endpoint_status> status;
        if (got)
        {
            if (auto row = options_.codec_->status_of(*got))
                status = *row;
        }
        log_line(log_level::info, "takeover_answer",
                 {{"service", at.name_},
                  {"endpoint", id},
                  {"question", static_cast<int>(kind)},
                  {"answered", status.has_value()},
                  {"detail", !got          ? got.error().detail_
                             : got->error_ ? std::string(tanagerspan::name_of(
                                                 *got->error_))
                                           : ""},
                  {"primary", status && status->primary_},
                  {"term", status ? status->term_ : 0},
                  {"received_term", status ? status->received_.term_ : 0},
                  {"received_index", status ? status->received_.index_ : 0},
                  {"held_term", status ? status->paused_by_term_ : 0},
                  {"lag_ms", status ? status->lag_ms_ : 0}});
        if (!at.attempt_)
            return;
        bool refused = got && got->error_;
        instant now = monotonic_now();
        perform(at, refused ? at.attempt_->on_refused(id, now)
                            : at.attempt_->on_status(id, status, now));
    };
    // A release is sent at once, without waiting for the answer to a hold.
    bool free = to.link_ && to.link_->is_ready() &&
                (!to.link_->awaits_reply() ||
                 what.kind_ == statement_kind::resume_receiving);
    if (free)
    {
        to.asked_ = monotonic_now();
        to.link_->ask(what, on_answer);
        return to.link_->flush();
    }
    if (to.link_ && to.link_->awaits_reply())
        return; // `tick` replaces the link if the answer times out.
    to.asked_ = monotonic_now();
    to.link_ = std::make_shared<endpoint_link>(
        loop_,
        endpoint_link::options{.codec_ = options_.codec_,
                               .user_ = options_.host_name_},
        *entry);
    auto link = to.link_;
    link->open(
        [link, what, on_answer](const result<reply>& opened)
        {
            if (!opened || opened->error_)
                return on_answer(opened);
            link->ask(what, on_answer);
            link->flush();
        });
}

void takeover_driver::replace_silent_links(service_state& at, instant now)
{
    for (auto& [id, to] : at.links_)
    {
        if (to.link_ && to.link_->awaits_reply() &&
            now - to.asked_ > options_.answer_ms_)
            std::exchange(to.link_, nullptr)
                ->close({error_code::lost, "no answer in time"});
    }
}

void takeover_driver::order(service_state& at, const std::string& id)
{
    log_line(log_level::info, "promotion_ordered",
             {{"service", at.name_},
              {"endpoint", id},
              {"token", at.token_},
              {"since_claim_ms", monotonic_now() - at.claimed_at_}});
    gate_.promote(
        {.service_ = at.name_,
         .endpoint_id_ = id,
         .holder_ = options_.host_name_,
         .token_ = at.token_},
        [this, &at, alive = std::weak_ptr<bool>(alive_),
         token = at.token_](result<void> got)
        {
            if (alive.expired() || !at.attempt_ || at.token_ != token)
                return;
            using outcome = takeover::order_outcome;
            outcome how = outcome::done;
            if (!got)
            {
                error_code code = got.error().code_;
                how = code == error_code::fenced ? outcome::refused
                      : code == error_code::lost ? outcome::unknown
                                                 : outcome::not_done;
            }
            log_line(log_level::info, "promotion_answered",
                     {{"service", at.name_},
                      {"token", token},
                      {"outcome", got ? "done" : got.error().detail_}});
            perform(at, at.attempt_->on_ordered(how, monotonic_now()));
        });
}

void takeover_driver::finish(service_state& at, const takeover_action& action)
{
    log_line(log_level::info, "takeover_finished",
             {{"service", at.name_},
              {"leader", action.endpoint_id_},
              {"why", action.detail_},
              {"took_ms", monotonic_now() - at.claimed_at_}});
    takeover_row row = end_row(at.row_, action.endpoint_id_,
                               at.attempt_->left_over(monotonic_now()));
    // Destroys the attempt later: this function may be called while one of
    // the attempt's own functions is on the stack.
    boost::asio::post(loop_, [attempt = std::shared_ptr<takeover>(
                                  std::move(at.attempt_))] {});
    if (!action.keep_row_ && at.row_.token_ == at.token_)
        write_row(at, row, [](bool) {});
}

} // namespace tanagerspan
