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
                                 table_store& store,
                                 promotion_service& promotions, options opts,
                                 primary_handler primary_changed,
                                 pending_handler pending_changed)
    : loop_(loop), store_(store), promotions_(promotions),
      options_(std::move(opts)), primary_changed_(std::move(primary_changed)),
      pending_changed_(std::move(pending_changed)), timer_(loop),
      record_timer_(loop), relay_links_(loop)
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
    service_state new_state{.name_ = service,
                            .trigger_ = takeover_trigger(options_.trigger_),
                            .departed_ =
                                departed_endpoints({.service_ = service})};
    return services_.emplace(service, std::move(new_state)).first->second;
}

void takeover_driver::set_endpoints(const endpoint_list& endpoints)
{
    std::map<std::string, std::set<std::string>> previous_ids;
    for (auto& [name, state] : services_)
    {
        for (const auto& entry : std::exchange(state.members_, {}))
            previous_ids[name].insert(entry.id_);
    }
    std::vector<std::pair<std::string, std::string>> joined;
    for (const auto& entry : endpoints)
    {
        state_of(entry.service_).members_.push_back(entry);
        if (!previous_ids[entry.service_].contains(entry.id_))
            joined.emplace_back(entry.service_, entry.id_);
    }
    instant now = monotonic_now();
    for (auto& [name, state] : services_)
    {
        state.departed_.update(state.members_, now);
        add_former_starts(state);
        if (!std::exchange(state.endpoints_known_, true))
            state.departed_.merge(state.record_, now);
        check_record(state, now);
    }
    schedule_record_upkeep();
    for (const auto& [service, id] : joined)
    {
        service_state& state = state_of(service);
        if (state.attempt_)
            perform(state, state.attempt_->on_joined(id, now));
    }
}

void takeover_driver::add_former_starts(service_state& state)
{
    if (!state.attempt_)
        return;
    for (const auto& member : state.departed_.members())
    {
        if (state.departed_.find(member.id_) == nullptr)
            state.attempt_->on_restarted(member);
    }
}

void takeover_driver::set_claim_order(home_plan_ptr plan,
                                      const std::vector<fleet_host>& hosts)
{
    home_plan_ = std::move(plan);
    hosts_ = hosts;
    schedule_record_upkeep();
}

void takeover_driver::hold_claims(instant until)
{
    hold_claims_until_ = std::max(hold_claims_until_, until);
}

std::int64_t takeover_driver::rank_of(const std::string& service) const
{
    std::int64_t rank = 0;
    if (home_plan_ && home_plan_->contains(service))
    {
        for (const auto& home : home_plan_->at(service).claim_order_)
        {
            if (home.name_ == options_.host_name_)
                return rank;
            ++rank;
        }
    }
    std::vector<std::string> names;
    for (const auto& host : hosts_)
        names.push_back(host.name_);
    auto ranking = rank_homes(service, names, names.size());
    auto own = std::find(ranking.begin(), ranking.end(), options_.host_name_);
    return rank + (own - ranking.begin());
}

std::vector<fleet_host>
takeover_driver::relays_of(const std::string& service) const
{
    std::vector<fleet_host> out;
    auto add = [&](const fleet_host& host)
    {
        bool known = host.name_ == options_.host_name_ ||
                     std::find(out.begin(), out.end(), host) != out.end();
        if (!known && !host.peers_address_.empty())
            out.push_back(host);
    };
    if (home_plan_ && home_plan_->contains(service))
    {
        for (const auto& home : home_plan_->at(service).claim_order_)
            add(home);
    }
    for (const auto& host : hosts_)
        add(host);
    return out;
}

void takeover_driver::on_health(const std::string& service,
                                const primary_health& health)
{
    service_state& state = state_of(service);
    state.health_ = health;
    instant now = monotonic_now();
    state.departed_.bound_logs(health.marks_);
    if (!health.marks_.empty())
        check_record(state, now);
    state.trigger_.on_health(health, now);
    update_primary_state(state, now);
    schedule_record_upkeep();
    schedule_tick();
}

void takeover_driver::update_primary_state(service_state& state, instant now)
{
    const primary_health& health = state.health_;
    bool works = health.listed_ && !health.unreachable_ &&
                 health.unanswered_since_ == never;
    if (works)
        state.without_primary_since_ = never;
    else if (state.without_primary_since_ == never)
        state.without_primary_since_ =
            health.unanswered_since_ == never ? now : health.unanswered_since_;
}

void takeover_driver::schedule_tick()
{
    bool needed =
        std::any_of(services_.begin(), services_.end(),
                    [](const auto& service)
                    {
                        return service.second.attempt_ ||
                               service.second.claim_ ||
                               service.second.write_back_at_ != never ||
                               service.second.trigger_.needs_check();
                    });
    if (tick_scheduled_ || !needed)
        return;
    tick_scheduled_ = true;
    timer_.expires_after(std::chrono::milliseconds(options_.tick_period_ms_));
    timer_.async_wait(
        [this](io_error cancelled)
        {
            tick_scheduled_ = false;
            if (!cancelled)
                tick();
        });
}

void takeover_driver::tick()
{
    instant now = monotonic_now();
    relay_links_.tick(now);
    for (auto& [name, state] : services_)
    {
        if (state.claim_ &&
            now - state.claimed_at_ > options_.claim_timeout_ms_)
            state.claim_.reset();
        if (state.write_back_at_ != never && now >= state.write_back_at_)
            write_back(state, now);
        bool may_claim = !state.claim_ && state.write_back_at_ == never &&
                         now >= hold_claims_until_;
        if (state.attempt_)
        {
            perform(state, state.attempt_->tick(now));
            if (state.commands_)
                state.commands_->tick(now);
        }
        else if (may_claim)
        {
            if (auto reason = state.trigger_.check(rank_of(name), now))
                claim(state, *reason, now);
        }
    }
    bool any_attempt =
        std::any_of(services_.begin(), services_.end(),
                    [](const auto& service)
                    {
                        return service.second.attempt_ != nullptr;
                    });
    if (!any_attempt)
        relay_links_.close_all();
    schedule_tick();
}

void takeover_driver::claim(service_state& state, takeover_reason reason,
                            instant now)
{
    takeover_row row = make_claim_row(state.row_, now - state.row_received_at_,
                                      options_.host_name_);
    row.token_ = std::max(row.token_, first_token(era_));
    state.claim_ = row;
    state.claimed_at_ = now;
    state.claim_reason_ = reason;
    log_line(
        log_level::info, "takeover_claim",
        {{"service", state.name_},
         {"reason", std::string(name_of(reason))},
         {"primary", state.health_.endpoint_id_},
         {"token", row.token_},
         {"ordered_before", row.ordered_},
         {"resumed_before", row.resumed_},
         {"row_term", row.term_},
         {"floor_term", row.floor_.term_},
         {"floor_index", row.floor_.index_},
         {"departed", state.departed_.members().size()},
         {"without_primary_ms", state.without_primary_since_ == never
                                    ? 0
                                    : now - state.without_primary_since_},
         {"primary_answered_ms_ago", state.health_.last_answer_ == never
                                         ? -1
                                         : now - state.health_.last_answer_},
         {"unanswered_ms", state.health_.unanswered_since_ == never
                               ? 0
                               : now - state.health_.unanswered_since_}});
    write_claim(state, row,
                [this, &state, token = row.token_](row_outcome outcome)
                {
                    if (!state.claim_ || state.claim_->token_ != token)
                        return;
                    if (outcome == row_outcome::written)
                        start_attempt(state, state.row_version_);
                    // The next tick claims by the rows that are known now.
                    if (outcome == row_outcome::refused)
                        state.claim_.reset();
                });
}

void takeover_driver::start_attempt(service_state& state,
                                    std::int64_t row_version)
{
    takeover_row row = *std::exchange(state.claim_, std::nullopt);
    instant now = monotonic_now();
    state.row_ = row;
    state.row_version_ = std::max(state.row_version_, row_version);
    state.token_ = row.token_;
    state.commands_ = std::make_unique<endpoint_commands>(
        loop_,
        endpoint_commands::options{.codec_ = options_.codec_,
                                   .host_name_ = options_.host_name_},
        [this, &state](const command_answer& got)
        {
            on_command_answer(state, got);
        });
    state.commands_->set_relays(&relay_links_, relays_of(state.name_));
    state.attempt_ = std::make_unique<takeover>(
        options_.attempt_,
        takeover_task{.reason_ = state.claim_reason_,
                      .primary_id_ = state.health_.endpoint_id_,
                      .members_ = members_of(state),
                      .pending_ =
                          pending_commands_of(row, now - state.claimed_at_),
                      .departed_bound_ = state.departed_.bound(),
                      .floor_ = row.floor_,
                      .term_ = row.term_,
                      .claimed_at_ = state.claimed_at_,
                      .without_primary_since_ = state.without_primary_since_});
    perform(state, state.attempt_->start(now));
}

std::vector<takeover_member>
takeover_driver::members_of(const service_state& state) const
{
    std::vector<takeover_member> out = state.departed_.members();
    for (const auto& entry : state.members_)
        out.push_back({.id_ = entry.id_, .leaving_ = entry.leaving_});
    return out;
}

void takeover_driver::record(service_state& state, const takeover_row& row,
                             recorded_handler handler)
{
    auto done =
        [this, &state, handler, token = state.token_](row_outcome outcome)
    {
        bool recorded = outcome == row_outcome::written;
        if (state.attempt_ && state.token_ == token)
            perform(state, (state.attempt_.get()->*handler)(recorded,
                                                            monotonic_now()));
    };
    // A later claim that is already known must not be overwritten.
    if (state.row_.token_ == state.token_)
        return write_row(state, row, done);
    boost::asio::post(loop_,
                      [done, alive = std::weak_ptr<bool>(alive_)]
                      {
                          if (!alive.expired())
                              done(row_outcome::refused);
                      });
}

void takeover_driver::perform(service_state& state,
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
            send_command(state, action.endpoint_id_, statement_of(action));
            break;
        case kind::record_target:
            record(state,
                   make_order_row(state.row_, action.endpoint_id_, action.term_,
                                  action.floor_, options_.attempt_.lease_ms_),
                   &takeover::on_target_recorded);
            break;
        case kind::record_end:
            record(state,
                   make_end_row(state.row_, action.endpoint_id_,
                                state.attempt_->pending_at(monotonic_now()),
                                action.term_),
                   &takeover::on_end_recorded);
            break;
        case kind::list_members:
            list_members(state);
            break;
        case kind::order:
            send_order(state, action.endpoint_id_);
            break;
        case kind::finish:
            finish(state, action);
            return;
        }
    }
}

const endpoint_entry* takeover_driver::find_entry(const service_state& state,
                                                  const std::string& id) const
{
    for (const auto& entry : state.members_)
    {
        if (entry.id_ == id)
            return &entry;
    }
    return state.departed_.find(id);
}

void takeover_driver::send_command(service_state& state, const std::string& id,
                                   const statement& command)
{
    const endpoint_entry* entry = find_entry(state, id);
    if (entry != nullptr)
        state.commands_->send(*entry, command);
}

void takeover_driver::on_command_answer(service_state& state,
                                        const command_answer& got)
{
    const auto& status = got.status_;
    log_line(log_level::info, "takeover_answer",
             {{"service", state.name_},
              {"endpoint", got.endpoint_id_},
              {"statement_kind", static_cast<int>(got.kind_)},
              {"answered", status.has_value()},
              {"relay", got.relay_},
              {"detail", got.detail_},
              {"is_primary", status && status->primary_},
              {"term", status ? status->term_ : 0},
              {"received_term", status ? status->received_.term_ : 0},
              {"received_index", status ? status->received_.index_ : 0},
              {"paused_by_term", status ? status->paused_by_term_ : 0},
              {"lag_ms", status ? status->lag_ms_ : 0}});
    if (!state.attempt_)
        return;
    instant now = monotonic_now();
    answer_path path =
        got.relay_.empty() ? answer_path::direct : answer_path::relayed;
    perform(state, got.refused_
                       ? state.attempt_->on_refused(got.endpoint_id_, now)
                       : state.attempt_->on_status(got.endpoint_id_, status,
                                                   now, path));
}

void takeover_driver::list_members(service_state& state)
{
    if (!list_endpoints_)
        return;
    list_endpoints_(
        [this, &state, token = state.token_, requested_at = monotonic_now(),
         alive = std::weak_ptr<bool>(alive_)]
        {
            if (alive.expired() || !state.attempt_ || state.token_ != token)
                return;
            perform(state, state.attempt_->on_members_listed(requested_at,
                                                             monotonic_now()));
        });
}

void takeover_driver::send_order(service_state& state, const std::string& id)
{
    log_line(log_level::info, "promotion_ordered",
             {{"service", state.name_},
              {"endpoint", id},
              {"token", state.token_},
              {"since_claim_ms", monotonic_now() - state.claimed_at_}});
    promotions_.promote(
        {.service_ = state.name_,
         .endpoint_id_ = id,
         .holder_ = options_.host_name_,
         .token_ = state.token_},
        [this, &state, alive = std::weak_ptr<bool>(alive_),
         token = state.token_](result<void> answer)
        {
            if (alive.expired() || !state.attempt_ || state.token_ != token)
                return;
            using outcome = takeover::order_outcome;
            outcome order_result = outcome::done;
            if (!answer)
            {
                error_code code = answer.error().code_;
                order_result = code == error_code::fenced ? outcome::refused
                               : code == error_code::lost ? outcome::unknown
                                                          : outcome::not_done;
            }
            log_line(log_level::info, "promotion_answered",
                     {{"service", state.name_},
                      {"token", token},
                      {"outcome", answer ? "done" : answer.error().detail_}});
            perform(state,
                    state.attempt_->on_ordered(order_result, monotonic_now()));
        });
}

void takeover_driver::finish(service_state& state,
                             const takeover_action& action)
{
    log_line(log_level::info, "takeover_finished",
             {{"service", state.name_},
              {"primary", action.endpoint_id_},
              {"why", action.detail_},
              {"took_ms", monotonic_now() - state.claimed_at_}});
    takeover_row row =
        make_end_row(state.row_, action.endpoint_id_,
                     state.attempt_->pending_at(monotonic_now()), action.term_);
    // Destroys the attempt and its connections later: this function may be
    // called while one of their own functions is on the stack.
    boost::asio::post(
        loop_, [attempt = std::shared_ptr<takeover>(std::move(state.attempt_)),
                commands = std::shared_ptr<endpoint_commands>(
                    std::move(state.commands_))] {});
    auto on_written = [this, &state, token = state.token_](row_outcome outcome)
    {
        if (outcome != row_outcome::written)
            state.trigger_.on_end_not_recorded(token);
        schedule_tick();
    };
    if (action.keep_row_)
        return on_written(row_outcome::unknown);
    if (state.row_.token_ == state.token_)
        write_row(state, row, on_written);
}

} // namespace tanagerspan
