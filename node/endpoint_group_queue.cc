// The requests that wait for a connection: in which order they are granted one,
// and which are refused because they cannot be served in time.

#include <algorithm>
#include <utility>

#include <boost/asio/post.hpp>

#include "node/endpoint_group.h"
#include "transport/json_log.h"
#include "transport/monotonic_clock.h"

namespace tanagerspan
{
namespace
{

// Routes come and go with the settings. Estimates are learned again within
// seconds, so all are dropped when there are this many.
constexpr std::size_t max_route_loads = 1000;

} // namespace

route_load& endpoint_group::load_of(const std::string& route)
{
    if (route_loads_.size() >= max_route_loads && !route_loads_.contains(route))
        route_loads_.clear();
    return route_loads_[route];
}

link_ptr endpoint_group::take_idle(endpoint_state& endpoint,
                                   const link_request& request)
{
    // Among equal links, the most recently used one is taken. The others stay
    // idle, so that unneeded links reach their idle limit and are closed.
    const session_state* session = request.session_;
    auto best = endpoint.idle_.end();
    for (auto candidate = endpoint.idle_.begin();
         candidate != endpoint.idle_.end(); ++candidate)
    {
        if (!may_use(**candidate, request))
            continue;
        if (best == endpoint.idle_.end() || !session ||
            replay_cost(*session, (*candidate)->values_) <=
                replay_cost(*session, (*best)->values_))
            best = candidate;
    }
    link_ptr link = *best;
    endpoint.idle_.erase(best);
    link->assigned_ = true;
    return link;
}

endpoint_group::request_id endpoint_group::request_link(link_request request,
                                                        grant_handler granted,
                                                        instant now)
{
    request_id id = next_request_id_++;
    waiting_.push_back({id, std::move(request), std::move(granted), now});
    schedule_dispatch();
    return id;
}

void endpoint_group::cancel_request(request_id id)
{
    std::erase_if(waiting_,
                  [&](const waiting_work& one)
                  {
                      return one.request_id_ == id;
                  });
}

void endpoint_group::schedule_dispatch()
{
    if (std::exchange(dispatch_scheduled_, true))
        return;
    boost::asio::post(loop_,
                      [this, alive = std::weak_ptr<bool>(alive_)]
                      {
                          if (!alive.expired())
                              dispatch();
                      });
}

void endpoint_group::dispatch()
{
    dispatch_scheduled_ = false;
    instant now = monotonic_now();
    waiting_.sort(
        [now](const waiting_work& one, const waiting_work& other)
        {
            return one.request_.order_.sort_key(now) <
                   other.request_.order_.sort_key(now);
        });
    std::map<std::size_t, std::size_t> links_to_open;
    std::map<std::string, account_demand> demands;
    for (const auto& work : waiting_)
        ++demands[work.request_.account_].waiting_;
    std::vector<std::pair<grant_handler, link_ptr>> grants;
    std::size_t waiting_reads = 0;
    for (auto work = waiting_.begin(); work != waiting_.end();)
    {
        bool by_locality = uses_locality(work->request_);
        locality_choice place;
        if (by_locality)
            place = choose_by_locality(*work, waiting_reads, now);
        auto idle = by_locality ? (place.idle_ ? place.endpoint_ : std::nullopt)
                                : choose(work->request_, availability::idle,
                                         work->since_, now);
        if (idle)
        {
            endpoint_state& endpoint = *endpoints_[*idle];
            grants.emplace_back(std::move(work->granted_),
                                take_idle(endpoint, work->request_));
            if (by_locality)
            {
                read_links_.insert(grants.back().second.get());
                ++(endpoint.entry_.data_centre_ == options_.data_centre_
                       ? own_reads_
                       : sent_out_reads_);
            }
            (work->request_.primary_ ? last_primary_grant_ : last_read_grant_) =
                now;
            if (work->request_.refused_)
                load_of(work->request_.route_).on_decided(true);
            --demands[work->request_.account_].waiting_;
            work = waiting_.erase(work);
            continue;
        }
        if (by_locality)
            ++waiting_reads;
        if (by_locality && !place.endpoint_)
        {
            ++work;
            continue;
        }
        // With accounts an idle connection may have to be closed first. That is
        // done at once, so that no later request takes the connection.
        // The account decides, not the settings: those of the sender may be
        // newer.
        if (uses_accounts_ || !work->request_.account_.empty())
        {
            account_demand& demand = demands[work->request_.account_];
            ++demand.rank_;
            open_for_account(work->request_, work->since_, demand,
                             place.endpoint_, now);
        }
        else if (auto open = by_locality
                                 ? place.endpoint_
                                 : choose(work->request_, availability::open,
                                          work->since_, now))
            ++links_to_open[*open];
        ++work;
    }
    for (auto [index, count] : links_to_open)
    {
        endpoint_state& endpoint = *endpoints_[index];
        while (endpoint.opening_links_ < count && may_open_link(endpoint, now))
            open_link(endpoint, {});
    }
    for (auto& [granted, link] : grants)
        granted(link);
    refuse_unservable(now);
    if (locality_)
        log_spill_over(now);
}

endpoint_group::locality_choice
endpoint_group::choose_by_locality(const waiting_work& work, std::size_t ahead,
                                   instant now)
{
    const link_request& request = work.request_;
    auto idle = endpoint_loads(request, availability::idle, work.since_, now);
    auto open = endpoint_loads(request, availability::open, work.since_, now);
    auto excluded = excluded_indexes(request);
    // Once all endpoints have been excluded, any of them is used again.
    if (excluded.size() == endpoints_.size())
        excluded.clear();
    auto usable = usable_for_read(idle, request.position_, excluded, now);
    std::vector<locality_candidate> candidates;
    candidates.reserve(idle.size());
    for (std::size_t i = 0; i < idle.size(); ++i)
    {
        const endpoint_state& endpoint = *endpoints_[i];
        candidates.push_back(
            {.id_ = endpoint.entry_.id_,
             .own_data_centre_ = idle[i].same_data_centre_,
             .primary_ = idle[i].primary_,
             .usable_ =
                 std::find(usable.begin(), usable.end(), i) != usable.end(),
             .failed_ = endpoint.entry_.leaving_ ||
                        endpoint.avoided_until_ > now ||
                        !accepts_work(endpoint, now),
             .connection_available_ =
                 idle[i].connection_available_ || open[i].connection_available_,
             .in_flight_ = idle[i].in_flight_,
             .slots_ = idle[i].slots_,
             .mean_response_ms_ = idle[i].mean_response_ms_});
    }
    auto decision = locality_->decide(candidates,
                                      {.statement_ = work.request_id_,
                                       .waited_ms_ = now - work.since_,
                                       .waiting_ahead_ = ahead},
                                      now);
    if (!decision.endpoint_)
        return {};
    return {.endpoint_ = decision.endpoint_,
            .idle_ = idle[*decision.endpoint_].connection_available_};
}

void endpoint_group::log_spill_over(instant now)
{
    auto share = locality_->share_to_report(now);
    if (!share || endpoints_.empty())
        return;
    log_line(log_level::info, "spill_over_share_changed",
             {{"service", endpoints_.front()->entry_.service_},
              {"share", *share},
              {"latency_ms", locality_->latency_ms()},
              {"own_reads", own_reads_},
              {"sent_out_reads", sent_out_reads_}});
}

std::size_t endpoint_group::opening_for(const endpoint_state& endpoint,
                                        const std::string& account)
{
    return static_cast<std::size_t>(std::count_if(
        endpoint.all_.begin(), endpoint.all_.end(),
        [&](const endpoint_link* link)
        {
            return !link->is_ready() && link->account() == account;
        }));
}

void endpoint_group::open_for_account(const link_request& request,
                                      instant since,
                                      const account_demand& demand,
                                      std::optional<std::size_t> decided,
                                      instant now)
{
    auto candidates = endpoint_loads(request, availability::open, since, now);
    std::size_t usable = 0;
    for (std::size_t index : usable_endpoints(request, candidates, now))
        usable += opening_for(*endpoints_[index], request.account_);
    // Earlier requests may use other endpoints than this one, so the sum over
    // all endpoints is bounded as well.
    std::size_t all = 0;
    for (const auto& endpoint : endpoints_)
        all += opening_for(*endpoint, request.account_);
    if (usable >= demand.rank_ || all >= demand.waiting_)
        return;
    auto chosen =
        decided ? decided : choose(request, availability::open, since, now);
    if (!chosen)
        return;
    endpoint_state& endpoint = *endpoints_[*chosen];
    if (needs_exchange(endpoint, request.account_))
    {
        link_ptr idle =
            link_to_exchange(endpoint, request, since, now, options_.exchange_);
        if (!idle)
            return;
        ++exchanged_links_;
        idle->close({error_code::lost, "exchanged for another account"});
    }
    // After the share became smaller there may still be too many.
    if (has_free_share(endpoint))
        open_link(endpoint, request.account_);
}

void endpoint_group::refuse_unservable(instant now)
{
    for (auto& endpoint : endpoints_)
        endpoint->backlogged_ = false;
    if (waiting_.empty())
        return;
    auto candidates = endpoint_loads({}, availability::open, now, now);
    std::vector<std::optional<double>> paces;
    paces.reserve(endpoints_.size());
    for (const auto& endpoint : endpoints_)
        paces.push_back(endpoint->pace_.ms_per_work_ms(now));
    std::vector<waiting_statement> statements;
    std::vector<std::list<waiting_work>::iterator> works;
    for (auto work = waiting_.begin(); work != waiting_.end(); ++work)
    {
        const link_request& request = work->request_;
        if (!request.refused_)
            continue;
        const route_load& load = load_of(request.route_);
        statements.push_back(
            {.order_ = request.order_,
             .deadline_ = request.deadline_,
             .work_ms_ = load.work_ms(),
             .served_share_ = load.served_share(),
             .endpoints_ = usable_endpoints(request, candidates, now)});
        works.push_back(work);
        for (std::size_t index : statements.back().endpoints_)
            endpoints_[index]->backlogged_ = true;
    }
    std::vector<std::function<void()>> refusals;
    for (const auto& refused : plan_refusals(statements, paces, now))
    {
        auto work = works[refused.index_];
        load_of(work->request_.route_).on_decided(false);
        refusals.push_back(
            [handler = std::move(work->request_.refused_), refused]
            {
                handler(refused);
            });
        waiting_.erase(work);
    }
    for (const auto& refuse : refusals)
        refuse();
}

} // namespace tanagerspan
