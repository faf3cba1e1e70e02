#include "node/allowance_client.h"

#include <algorithm>
#include <iterator>
#include <utility>

#include <boost/asio/post.hpp>

#include "coordination/home_ranking.h"
#include "transport/json_log.h"
#include "transport/monotonic_clock.h"

namespace tanagerspan
{
namespace
{

// Hosts of a slice's ranking that are asked. One more than can fail at a time.
constexpr std::size_t ranked_hosts = 3;

constexpr std::int64_t ms_per_s = 1000;

} // namespace

allowance_client::allowance_client(boost::asio::io_context& loop, options opts,
                                   home_pool& pool,
                                   allowance_server& own_server)
    : loop_(loop), options_(std::move(opts)), pool_(pool),
      own_server_(own_server)
{
}

allowance_client::~allowance_client() = default;

void allowance_client::set_routes(route_table_ptr routes)
{
    routes_ = std::move(routes);
}

void allowance_client::set_hosts(std::span<const fleet_host> live)
{
    std::vector<std::string> names;
    std::map<std::string_view, const fleet_host*> by_name;
    names.reserve(live.size());
    for (const auto& host : live)
    {
        names.push_back(host.name_);
        by_name.emplace(host.name_, &host);
    }
    for (std::size_t slice = 0; slice < slices_.size(); ++slice)
    {
        slice_state& state = slices_[slice];
        state.ranking_.clear();
        for (const auto& name : rank_homes("allowance/" + std::to_string(slice),
                                           names, ranked_hosts))
            state.ranking_.push_back(*by_name.at(name));
        state.next_ = 0;
        // Claims a free lease before the first operation asks for a token.
        bool first =
            !state.ranking_.empty() && state.ranking_.front() == options_.own_;
        if (first)
            own_server_.check(slice, monotonic_now());
    }
}

const account_limits*
allowance_client::limits_of(const std::string& account) const
{
    if (!routes_ || account.empty())
        return nullptr;
    auto found = routes_->accounts_.find(account);
    bool limited =
        found != routes_->accounts_.end() && found->second.rate_per_s_;
    return limited ? &found->second : nullptr;
}

allowance_client::account_state&
allowance_client::state_of(const std::string& account)
{
    auto known = accounts_.find(account);
    if (known != accounts_.end())
        return known->second;
    account_state added{.balance_ = allowance_balance(options_.balance_)};
    std::size_t hash =
        std::hash<std::string>()(options_.own_.name_ + "/" + account);
    added.first_slice_ = hash % allowance_slices;
    added.empty_until_.fill(never);
    return accounts_.emplace(account, std::move(added)).first->second;
}

bool allowance_client::try_spend(const std::string& account, instant now)
{
    if (limits_of(account) == nullptr)
        return true;
    account_state& state = state_of(account);
    // Operations that wait already go first.
    bool got_token = state.waiting_.empty() && state.balance_.try_spend(now);
    spent_ += got_token ? 1 : 0;
    return got_token;
}

void allowance_client::wait(const std::string& account, instant now,
                            std::int64_t longest_wait_ms, done_handler done)
{
    account_state& state = state_of(account);
    const account_limits* limits = limits_of(account);
    // At the account's limit tokens accrue at its rate, for this host at most.
    bool all_empty =
        std::all_of(state.empty_until_.begin(), state.empty_until_.end(),
                    [now](instant until)
                    {
                        return until > now;
                    });
    double ahead = static_cast<double>(state.waiting_.size() + 1);
    bool hopeless = all_empty && limits != nullptr &&
                    ahead * ms_per_s > *limits->rate_per_s_ *
                                           static_cast<double>(longest_wait_ms);
    state.waiting_.push_back(
        {hopeless ? now : now + longest_wait_ms, std::move(done)});
    schedule_dispatch();
}

std::optional<std::size_t>
allowance_client::choose_slice(const account_state& account, instant now) const
{
    for (std::size_t offset = 0; offset < allowance_slices; ++offset)
    {
        std::size_t slice = (account.first_slice_ + offset) % allowance_slices;
        const slice_state& state = slices_[slice];
        bool askable = !state.ranking_.empty() && state.paused_until_ <= now &&
                       account.empty_until_[slice] <= now;
        if (askable)
            return slice;
    }
    return std::nullopt;
}

void allowance_client::request_tokens(instant now)
{
    std::array<std::map<std::string, std::int64_t>, allowance_slices> batches;
    for (auto& [name, state] : accounts_)
    {
        auto waiting = static_cast<std::int64_t>(state.waiting_.size());
        std::int64_t wanted = state.balance_.wanted(waiting, now);
        if (wanted <= 0)
            continue;
        auto slice = choose_slice(state, now);
        if (!slice)
            continue;
        batches[*slice][name] = wanted;
    }
    for (std::size_t slice = 0; slice < slices_.size(); ++slice)
    {
        if (!batches[slice].empty() && slices_[slice].number_ == 0)
            send(slice, std::move(batches[slice]), now);
    }
}

void allowance_client::send(std::size_t slice,
                            std::map<std::string, std::int64_t> wanted,
                            instant now)
{
    slice_state& state = slices_[slice];
    std::shared_ptr<home_link> link;
    bool own = false;
    // Skips hosts that cannot be asked now; each of the ranking is tried once.
    for (std::size_t tries = 0; !own && !(link && link->is_usable()); ++tries)
    {
        if (tries > state.ranking_.size() || state.paused_until_ > now)
            return;
        if (tries > 0)
            try_next_host(state, now);
        const fleet_host& target =
            state.hint_ ? *state.hint_
                        : state.ranking_[state.next_ % state.ranking_.size()];
        own = target.peers_address_ == options_.own_.peers_address_;
        link = own ? nullptr : pool_.link_to(target, now);
        if (link && link->is_opening())
            return;
    }
    state.request_ = {static_cast<std::int64_t>(slice), std::move(wanted)};
    state.number_ = next_number_++;
    state.sent_at_ = now;
    ++requests_;
    for (const auto& [name, count] : state.request_.wanted_)
        state_of(name).balance_.on_requested(count);
    if (own)
    {
        allowance_reply got = own_server_.answer(state.request_, now);
        return on_reply(slice, state.number_, got);
    }
    link->request_allowance(state.request_,
                            [this, slice, number = state.number_,
                             alive = std::weak_ptr<bool>(alive_)](
                                const result<allowance_reply>& got)
                            {
                                if (!alive.expired())
                                    on_reply(slice, number, got);
                            });
}

void allowance_client::try_next_host(slice_state& state, instant now)
{
    state.hint_.reset();
    ++state.next_;
    bool all_tried = state.next_ % state.ranking_.size() == 0;
    state.paused_until_ = now + (all_tried ? options_.retry_pause_ms_ : 0);
}

void allowance_client::on_reply(std::size_t slice, std::uint64_t number,
                                const result<allowance_reply>& got)
{
    slice_state& state = slices_[slice];
    if (state.number_ != number)
        return; // timed out
    instant now = monotonic_now();
    schedule_dispatch();
    end_request(state, got ? *got : allowance_reply{}, slice, now);
    if (got && got->holder_)
        return;
    std::optional<fleet_host> asked = state.hint_;
    try_next_host(state, now);
    bool other = got && !got->other_holder_.empty() &&
                 got->other_address_ != options_.own_.peers_address_ &&
                 (!asked || asked->peers_address_ != got->other_address_);
    if (other)
        state.hint_ = fleet_host{.name_ = got->other_holder_,
                                 .data_centre_ = "",
                                 .peers_address_ = got->other_address_};
}

void allowance_client::end_request(slice_state& state,
                                   const allowance_reply& got,
                                   std::size_t slice, instant now)
{
    state.number_ = 0;
    for (const auto& [name, wanted] : std::exchange(state.request_, {}).wanted_)
    {
        account_state& account = state_of(name);
        auto granted = got.granted_.find(name);
        std::int64_t tokens =
            granted == got.granted_.end()
                ? 0
                : std::clamp<std::int64_t>(granted->second, 0, wanted);
        account.balance_.on_granted(wanted, tokens, state.sent_at_);
        auto retry = got.retry_after_ms_.find(name);
        if (retry != got.retry_after_ms_.end())
        {
            constexpr std::int64_t min_retry_ms = 5;
            constexpr std::int64_t max_retry_ms = 2000;
            account.empty_until_[slice] =
                now + std::clamp(retry->second, min_retry_ms, max_retry_ms);
        }
        serve_waiting(name, account, now);
    }
}

void allowance_client::serve_waiting(const std::string& account,
                                     account_state& state, instant now)
{
    while (!state.waiting_.empty())
    {
        bool got_token = state.balance_.try_spend(now);
        if (!got_token && state.waiting_.front().until_ > now)
            return;
        spent_ += got_token ? 1 : 0;
        refused_ += got_token ? 0 : 1;
        if (!got_token)
            log_line(log_level::info, "allowance_refused",
                     {{"account", account},
                      {"waiting", state.waiting_.size()},
                      {"empty_slices", std::count_if(state.empty_until_.begin(),
                                                     state.empty_until_.end(),
                                                     [now](instant until)
                                                     {
                                                         return until > now;
                                                     })}});
        finished_.push_back(
            [done = std::move(state.waiting_.front().done_), got_token]
            {
                done(got_token);
            });
        state.waiting_.pop_front();
    }
}

void allowance_client::schedule_dispatch()
{
    if (std::exchange(dispatch_scheduled_, true))
        return;
    boost::asio::post(loop_,
                      [this, alive = std::weak_ptr<bool>(alive_)]
                      {
                          if (alive.expired())
                              return;
                          dispatch_scheduled_ = false;
                          dispatch(monotonic_now());
                      });
}

void allowance_client::dispatch(instant now)
{
    for (auto& [name, state] : accounts_)
        serve_waiting(name, state, now);
    request_tokens(now);
    for (auto& handler : std::exchange(finished_, {}))
        handler();
}

void allowance_client::tick(instant now)
{
    for (auto& state : slices_)
    {
        bool late = state.number_ != 0 &&
                    now - state.sent_at_ >= options_.answer_timeout_ms_;
        if (!late)
            continue;
        auto slice = static_cast<std::size_t>(state.request_.slice_);
        end_request(state, {}, slice, now);
        try_next_host(state, now);
    }
    dispatch(now);
    for (auto account = accounts_.begin(); account != accounts_.end();)
    {
        account_state& state = account->second;
        bool unused = state.waiting_.empty() && state.balance_.is_unused(now);
        account = unused ? accounts_.erase(account) : std::next(account);
    }
}

} // namespace tanagerspan
