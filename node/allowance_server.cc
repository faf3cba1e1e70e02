#include "node/allowance_server.h"

#include <utility>

namespace tanagerspan
{

void allowance_server::set_routes(route_table_ptr routes)
{
    routes_ = std::move(routes);
    for (auto& one : slices_)
        one.buckets_.keep_only(routes_->accounts_);
}

void allowance_server::set_lease(const allowance_lease_state& lease,
                                 instant now)
{
    slice& own = slices_.at(lease.slice_);
    bool was_holder = own.lease_.valid_until_ > now;
    own.lease_ = lease;
    if (!was_holder && lease.valid_until_ > now)
        own.buckets_.start(now);
}

void allowance_server::check(std::size_t slice, instant now)
{
    instant& checked_at = slices_.at(slice).checked_at_;
    if (now - checked_at < check_interval_ms)
        return;
    checked_at = now;
    check_(slice);
}

allowance_reply allowance_server::answer(const allowance_request& request,
                                         instant now)
{
    allowance_reply out;
    if (request.slice_ < 0 ||
        static_cast<std::size_t>(request.slice_) >= slices_.size() || !routes_)
        return out;
    auto index = static_cast<std::size_t>(request.slice_);
    slice& own = slices_.at(index);
    if (own.lease_.valid_until_ <= now)
    {
        check(index, now);
        if (own.lease_.other_holder_)
        {
            out.other_holder_ = own.lease_.other_holder_->name_;
            out.other_address_ = own.lease_.other_holder_->peers_address_;
        }
        return out;
    }
    out.holder_ = true;
    for (const auto& [account, wanted] : request.wanted_)
    {
        auto limits = routes_->accounts_.find(account);
        // An account that only the asker's settings have: nothing is known of
        // its limit yet.
        if (limits == routes_->accounts_.end())
        {
            out.granted_[account] = 0;
            continue;
        }
        auto grant = own.buckets_.take(account, limits->second, wanted, now);
        out.granted_[account] = grant.tokens_;
        granted_ += static_cast<std::uint64_t>(grant.tokens_);
        if (grant.tokens_ < wanted)
            out.retry_after_ms_[account] = grant.retry_after_ms_;
    }
    return out;
}

} // namespace tanagerspan
