#include "load/fleet_caller.h"

namespace tanagerspan
{
namespace
{

caller_answer decode_answer(const http_answer& answer)
{
    caller_answer out;
    auto body = parse_json(answer.body_);
    if (!body || !body->is_object())
        return out;
    std::string what = body->value("outcome", "unknown");
    out.outcome_ = what == "done"      ? outcome::done
                   : what == "not_run" ? outcome::not_run
                                       : outcome::unknown;
    out.error_ = error_code_of(body->value("error", "malformed"));
    out.token_ = body->value("token", "");
    out.by_replica_ = body->value("replica", false);
    out.age_ms_ = body->value("age_ms", std::int64_t{-1});
    if (body->contains("results"))
    {
        auto results =
            decode<std::vector<operation_result>>((*body)["results"]);
        if (results)
            out.results_ = std::move(*results);
    }
    return out;
}

} // namespace

fleet_caller::fleet_caller(const std::vector<std::string>& proxies)
{
    for (const auto& address : proxies)
        connections_.push_back(std::make_unique<http_connection>(address));
}

caller_answer fleet_caller::send(std::size_t proxy,
                                 const statement_request& request,
                                 std::int64_t timeout_ms)
{
    auto& connection = *connections_[proxy % connections_.size()];
    if (!connection.clean())
        connection.close();
    auto got = connection.exchange("POST", "/v1/statements",
                                   encode(request).dump(), timeout_ms);
    if (got)
        return decode_answer(*got);
    caller_answer out;
    out.error_ = got.error().code_;
    if (got.error().code_ == error_code::not_sent)
        out.outcome_ = outcome::not_run;
    return out;
}

} // namespace tanagerspan
