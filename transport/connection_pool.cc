#include "transport/connection_pool.h"

namespace tanagerspan
{

connection_pool::connection_pool(options opts) : options_(std::move(opts))
{
}

result<std::unique_ptr<http_connection>>
connection_pool::acquire(std::int64_t timeout_ms, instant now)
{
    std::unique_ptr<http_connection> out;
    {
        std::lock_guard lock(mutex_);
        while (!idle_.empty() && !out)
        {
            auto last = std::move(idle_.back());
            idle_.pop_back();
            if (now - last.since_ <= options_.max_idle_ms_ &&
                last.connection_->clean())
                out = std::move(last.connection_);
        }
        if (!out && in_use_ + idle_.size() >= options_.max_)
            return fail(
                error_code::too_many_connections,
                "all connections of this proxy to the endpoint are in use");
        ++in_use_;
    }
    if (out)
        return out;
    out = std::make_unique<http_connection>(options_.address_);
    if (auto connected = out->connect(timeout_ms); !connected)
    {
        release(nullptr, now);
        return tl::unexpected(connected.error());
    }
    return out;
}

void connection_pool::release(std::unique_ptr<http_connection> connection,
                              instant now)
{
    std::lock_guard lock(mutex_);
    --in_use_;
    if (connection && connection->clean())
        idle_.push_back({std::move(connection), now});
}

std::size_t connection_pool::open() const
{
    std::lock_guard lock(mutex_);
    return in_use_ + idle_.size();
}

} // namespace tanagerspan
