#include "node/endpoint_group.h"

#include <algorithm>
#include <utility>

#include "transport/json_log.h"
#include "transport/monotonic_clock.h"

namespace tanagerspan
{
namespace
{

constexpr double max_lag_ms = 4000; // longer than any staleness bound

void keep_earlier(instant& so_far, instant other)
{
    if (other != never && (so_far == never || other < so_far))
        so_far = other;
}

} // namespace

endpoint_group::endpoint_group(boost::asio::io_context& loop, options opts)
    : loop_(loop), options_(std::move(opts))
{
    if (options_.locality_)
        locality_.emplace(*options_.locality_);
}

endpoint_group::~endpoint_group()
{
    // From here on the handlers of the links do not access the group.
    alive_.reset();
    for (auto& endpoint : endpoints_)
    {
        for (endpoint_link* link : std::exchange(endpoint->all_, {}))
            link->close({error_code::leaving, "the endpoint group is closed"});
    }
}

void endpoint_group::set_endpoints(const endpoint_list& endpoints,
                                   std::size_t share, instant now)
{
    is_home_ = share > 0;
    share_ = std::max<std::size_t>(share, 1);
    for (auto& endpoint : endpoints_)
        endpoint->window_.set_max(static_cast<double>(share_));
    for (auto& endpoint : endpoints_)
        endpoint->listed_ = false;
    for (const auto& entry : endpoints)
    {
        auto same = std::find_if(
            endpoints_.begin(), endpoints_.end(),
            [&](const auto& endpoint)
            {
                return endpoint->entry_.id_ == entry.id_ &&
                       endpoint->entry_.address_ == entry.address_ &&
                       endpoint->entry_.started_ms_ == entry.started_ms_;
            });
        if (same == endpoints_.end())
        {
            endpoints_.push_back(std::make_unique<endpoint_state>());
            same = std::prev(endpoints_.end());
        }
        else if ((*same)->entry_.primary_ != entry.primary_)
            (*same)->not_primary_until_ = never;
        (*same)->entry_ = entry;
        (*same)->listed_ = true;
    }
    for (auto& endpoint : endpoints_)
    {
        if (!endpoint->listed_)
        {
            for (auto& link : std::exchange(endpoint->idle_, {}))
                link->close(
                    {error_code::leaving, "the endpoint is no longer listed"});
        }
    }
    std::erase_if(endpoints_,
                  [](const auto& endpoint)
                  {
                      return !endpoint->listed_ && endpoint->links_ == 0 &&
                             endpoint->opening_links_ == 0;
                  });
    tick(now);
    schedule_dispatch();
}

void endpoint_group::set_promotion(promotion_record record)
{
    if (record.row_version_ <= promoted_.row_version_)
        return;
    promoted_ = std::move(record);
    for (auto& endpoint : endpoints_)
    {
        if (endpoint->entry_.id_ != promoted_.endpoint_id_)
            continue;
        endpoint->not_primary_until_ = never;
        // The row that names it was read after its silence as a replica.
        endpoint->contact_ = primary_contact({});
    }
    schedule_dispatch();
}

std::int64_t
endpoint_group::primary_claim_version(const endpoint_state& endpoint) const
{
    constexpr std::int64_t no_claim = -1;
    std::int64_t entry_version = endpoint.entry_.row_version_;
    if (endpoint.entry_.primary_)
        return endpoint.entry_.id_ == promoted_.endpoint_id_
                   ? std::max(entry_version, promoted_.row_version_)
                   : entry_version;
    // An entry that the endpoint wrote after its promotion takes precedence
    // over the record of the promotion.
    bool promoted = endpoint.entry_.id_ == promoted_.endpoint_id_ &&
                    promoted_.row_version_ > entry_version;
    return promoted ? promoted_.row_version_ : no_claim;
}

void endpoint_group::set_pending_promotion(pending_promotion order)
{
    if (order == pending_promotion_)
        return;
    pending_promotion_ = std::move(order);
    schedule_dispatch();
}

bool endpoint_group::may_discard_changes(const endpoint_link& link,
                                         instant now) const
{
    return is_being_replaced(link.endpoint().id_, now);
}

bool endpoint_group::is_being_replaced(const std::string& endpoint_id,
                                       instant now) const
{
    const pending_promotion& order = pending_promotion_;
    return !order.endpoint_id_.empty() && now < order.until_ &&
           endpoint_id != order.endpoint_id_;
}

std::optional<std::size_t>
endpoint_group::primary_for(const link_request& request, instant now) const
{
    auto primary = primary_index(now);
    if (!primary || !request.primary_ || request.takes_no_slot_)
        return primary;
    const endpoint_state& endpoint = *endpoints_[*primary];
    bool held = is_being_replaced(endpoint.entry_.id_, now) ||
                (request.may_write_ && !endpoint.contact_.is_confirmed());
    return held ? std::nullopt : primary;
}

std::optional<std::size_t> endpoint_group::primary_index(instant now) const
{
    std::optional<std::size_t> best;
    std::int64_t latest_version = -1;
    std::optional<std::size_t> untried;
    for (std::size_t i = 0; i < endpoints_.size(); ++i)
    {
        const endpoint_state& endpoint = *endpoints_[i];
        if (!endpoint.listed_ || endpoint.not_primary_until_ > now)
            continue;
        std::int64_t version = primary_claim_version(endpoint);
        if (version > latest_version)
        {
            best = i;
            latest_version = version;
        }
        if (!untried)
            untried = i;
    }
    return best ? best : untried;
}

std::vector<endpoint_candidate>
endpoint_group::endpoint_loads(const link_request& request, availability wanted,
                               instant since, instant now) const
{
    auto primary = primary_for(request, now);
    std::vector<endpoint_candidate> out;
    out.reserve(endpoints_.size());
    for (std::size_t i = 0; i < endpoints_.size(); ++i)
    {
        const endpoint_state& endpoint = *endpoints_[i];
        std::int64_t running = busy_links(endpoint);
        bool has_idle_link =
            accepts_work(endpoint, now) &&
            std::any_of(endpoint.idle_.begin(), endpoint.idle_.end(),
                        [&](const link_ptr& link)
                        {
                            return may_use(*link, request);
                        }) &&
            (request.takes_no_slot_ || endpoint.window_.has_room(running));
        out.push_back(
            {.primary_ = primary == i,
             .leaving_ = endpoint.entry_.leaving_,
             .same_data_centre_ =
                 endpoint.entry_.data_centre_ == options_.data_centre_,
             .connection_available_ =
                 wanted == availability::idle
                     ? has_idle_link
                     : may_open_link_for(endpoint, request, since, now),
             .in_flight_ = running,
             .slots_ = endpoint.entry_.slots_,
             .mean_response_ms_ = endpoint.window_.mean_ms(),
             .avoided_until_ = endpoint.avoided_until_,
             .lag_ms_ = endpoint.lag_ms_,
             .last_position_ = endpoint.last_position_});
    }
    return out;
}

std::vector<std::size_t>
endpoint_group::excluded_indexes(const link_request& request) const
{
    std::vector<std::size_t> out;
    const auto& ids = request.excluded_;
    for (std::size_t i = 0; i < endpoints_.size(); ++i)
    {
        if (std::find(ids.begin(), ids.end(), endpoints_[i]->entry_.id_) !=
            ids.end())
            out.push_back(i);
    }
    return out;
}

std::vector<std::size_t>
endpoint_group::usable_endpoints(const link_request& request,
                                 std::span<const endpoint_candidate> candidates,
                                 instant now) const
{
    if (!request.primary_)
        return usable_for_read(candidates, request.position_,
                               excluded_indexes(request), now);
    auto primary = primary_for(request, now);
    return primary ? std::vector{*primary} : std::vector<std::size_t>{};
}

std::optional<std::size_t> endpoint_group::choose(const link_request& request,
                                                  availability wanted,
                                                  instant since,
                                                  instant now) const
{
    auto candidates = endpoint_loads(request, wanted, since, now);
    if (request.primary_)
        return choose_primary(candidates);
    auto excluded = excluded_indexes(request);
    auto best = choose_for_read(candidates, request.position_, excluded, now);
    // Once all endpoints have been excluded, any of them is used again.
    if (!best && !excluded.empty() && excluded.size() == endpoints_.size())
        best = choose_for_read(candidates, request.position_, {}, now);
    return best;
}

bool endpoint_group::accepts_work(const endpoint_state& endpoint,
                                  instant now) const
{
    return endpoint.listed_ && !is_drained(endpoint, now);
}

bool endpoint_group::is_drained(const endpoint_state& endpoint, instant now)
{
    return endpoint.entry_.leaving_ && now >= endpoint.entry_.use_until_;
}

bool endpoint_group::accepts_links(const endpoint_state& endpoint,
                                   instant now) const
{
    std::size_t limit = uses_accounts_ ? options_.max_opening_account_links_
                                       : options_.max_opening_links_;
    return accepts_work(endpoint, now) && endpoint.full_until_ <= now &&
           endpoint.opening_links_ < limit &&
           endpoint.window_.has_room(busy_links(endpoint));
}

bool endpoint_group::may_open_link_for(const endpoint_state& endpoint,
                                       const link_request& request,
                                       instant since, instant now) const
{
    if (!accepts_links(endpoint, now))
        return false;
    return !needs_exchange(endpoint, request.account_) ||
           link_to_exchange(endpoint, request, since, now,
                            options_.exchange_) != nullptr;
}

bool endpoint_group::needs_exchange(const endpoint_state& endpoint,
                                    const std::string& account) const
{
    if (!has_free_share(endpoint))
        return true;
    bool beyond_retained =
        endpoint.links_ + endpoint.opening_links_ >= retained_links();
    return beyond_retained &&
           std::any_of(endpoint.idle_.begin(), endpoint.idle_.end(),
                       [&](const link_ptr& link)
                       {
                           return link->account() != account;
                       });
}

link_ptr endpoint_group::link_to_exchange(const endpoint_state& endpoint,
                                          const link_request& request,
                                          instant since, instant now,
                                          const exchange_limits& limits)
{
    std::vector<idle_connection> idle;
    idle.reserve(endpoint.idle_.size());
    for (const auto& link : endpoint.idle_)
        idle.push_back({link->account(), link->idle_since_});
    auto index =
        connection_to_exchange(idle, request.account_, since, now, limits);
    return index ? endpoint.idle_[*index] : nullptr;
}

bool endpoint_group::may_use(const endpoint_link& link,
                             const link_request& request)
{
    return request.takes_no_slot_ || link.account() == request.account_;
}

std::int64_t endpoint_group::busy_links(const endpoint_state& endpoint)
{
    return std::count_if(endpoint.all_.begin(), endpoint.all_.end(),
                         [](const endpoint_link* link)
                         {
                             return link->awaits_reply() || link->assigned_;
                         });
}

endpoint_group::endpoint_state*
endpoint_group::endpoint_of(const endpoint_link& link) const
{
    for (const auto& endpoint : endpoints_)
    {
        if (endpoint->entry_.id_ == link.endpoint().id_ &&
            endpoint->entry_.started_ms_ == link.endpoint().started_ms_ &&
            endpoint->entry_.address_ == link.endpoint().address_)
            return endpoint.get();
    }
    return nullptr;
}

void endpoint_group::release(const link_ptr& link, bool usable, instant now)
{
    // A connection with an open transaction is never granted to other work.
    bool clean = link->state() == transaction_state::idle;
    if (locality_)
        read_links_.erase(link.get());
    if (usable && link->is_open() && !clean)
        return roll_back(link, now);
    link->assigned_ = false;
    endpoint_state* endpoint = endpoint_of(*link);
    if (!link->is_open())
        return;
    if (!usable || endpoint == nullptr || !endpoint->listed_)
        return link->close(
            {error_code::lost, "the connection is not reusable"});
    link->idle_since_ = now;
    endpoint->idle_.push_back(link);
    if (!waiting_.empty())
        schedule_dispatch();
}

void endpoint_group::abandon(const link_ptr& link, instant close_at)
{
    if (locality_)
        read_links_.erase(link.get());
    if (link->is_open())
        abandoned_links_.push_back({link, close_at});
}

void endpoint_group::roll_back(const link_ptr& link, instant now)
{
    if (!link->is_open())
        return release(link, false, now);
    timed_links_.push_back({link, now + options_.roll_back_timeout_ms_});
    link->enqueue({.kind_ = statement_kind::rollback},
                  [this, link, alive = std::weak_ptr<bool>(alive_)](
                      const result<reply>& got)
                  {
                      bool idle = got && !got->error_ &&
                                  got->state_ == transaction_state::idle;
                      if (!alive.expired())
                          release(link, idle, monotonic_now());
                  });
    link->flush();
}

void endpoint_group::on_write_sent(const link_ptr& link, instant now)
{
    link->awaits_write_reply_ = true;
    endpoint_state* endpoint = endpoint_of(*link);
    if (endpoint == nullptr)
        return;
    endpoint->last_write_sent_at_ = now;
    if (endpoint->unanswered_write_since_ == never)
        endpoint->unanswered_write_since_ = now;
}

void endpoint_group::on_answered(const link_ptr& link, const std::string& route,
                                 bool from_queue, instant sent_at, instant now)
{
    endpoint_state* endpoint = endpoint_of(*link);
    if (endpoint == nullptr)
        return;
    if (locality_ && read_links_.erase(link.get()) > 0)
        locality_->on_response(endpoint->entry_.data_centre_ ==
                                   options_.data_centre_,
                               static_cast<double>(now - sent_at), now);
    route_load& load = load_of(route);
    load.on_answer(static_cast<double>(now - sent_at), endpoint->backlogged_);
    if (from_queue)
        endpoint->pace_.on_answer(load.work_ms(), endpoint->backlogged_, now);
    // `busy_links` no longer counts the link of the answered statement, so one
    // is added.
    endpoint->window_.on_answer(static_cast<double>(now - sent_at),
                                busy_links(*endpoint) + 1);
    if (!waiting_.empty())
        schedule_dispatch();
}

void endpoint_group::on_busy(const link_ptr& link)
{
    if (endpoint_state* endpoint = endpoint_of(*link))
        endpoint->window_.on_refused();
}

void endpoint_group::on_lagging(const link_ptr& link, std::int64_t behind_ms)
{
    endpoint_state* endpoint = endpoint_of(*link);
    if (endpoint == nullptr)
        return;
    // The replica gets the next such read once the position has been known for
    // 1.5 times as long as now.
    constexpr double longer = 1.5;
    endpoint->lag_ms_ = std::clamp(static_cast<double>(behind_ms) * longer,
                                   endpoint->lag_ms_, max_lag_ms);
}

void endpoint_group::on_not_primary(const link_ptr& link, instant now)
{
    endpoint_state* endpoint = endpoint_of(*link);
    if (endpoint == nullptr)
        return;
    endpoint->not_primary_until_ = now + options_.failure_backoff_ms_;
    log_line(log_level::info, "endpoint_does_not_lead",
             {{"service", endpoint->entry_.service_},
              {"endpoint", endpoint->entry_.id_}});
}

void endpoint_group::on_failed(const link_ptr& link, instant now)
{
    if (endpoint_state* endpoint = endpoint_of(*link))
        endpoint->avoided_until_ = now + options_.failure_backoff_ms_;
}

std::string endpoint_group::primary_id(instant now) const
{
    auto endpoint = primary_index(now);
    return endpoint ? endpoints_[*endpoint]->entry_.id_ : std::string();
}

primary_health endpoint_group::health() const
{
    // Marks are kept for 10 s by default, so this is about one per second.
    constexpr std::size_t reported_marks = 10;
    primary_health out;
    // Claims count here even if the endpoint has reported that it is not
    // primary.
    std::int64_t latest_version = -1;
    const endpoint_state* best = nullptr;
    for (const auto& endpoint : endpoints_)
    {
        std::int64_t version = primary_claim_version(*endpoint);
        // An endpoint id can be listed again, with another address or as
        // another incarnation, while connections to the former one remain.
        bool renewed = best != nullptr && version == latest_version &&
                       endpoint->listed_ && !best->listed_;
        if (version > latest_version || renewed)
        {
            best = endpoint.get();
            latest_version = version;
        }
    }
    if (best == nullptr)
        return out;
    out.endpoint_id_ = best->entry_.id_;
    out.listed_ = best->listed_;
    out.leaving_ = best->entry_.leaving_;
    out.unreachable_ = best->unreachable_;
    out.last_answer_ = best->last_answer_;
    for (const endpoint_link* link : best->all_)
    {
        keep_earlier(out.unanswered_since_, link->awaiting_since());
    }
    if (out.unanswered_since_ != never)
        out.unanswered_since_ =
            std::max(out.unanswered_since_, best->last_answer_);
    out.marks_ = marks_.sample(reported_marks);
    // Unanswered writes count only as long as other writes are being sent.
    constexpr std::int64_t recent_ms = 2000;
    if (monotonic_now() - best->last_write_sent_at_ < recent_ms)
        out.write_unanswered_since_ = best->unanswered_write_since_;
    return out;
}

} // namespace tanagerspan
