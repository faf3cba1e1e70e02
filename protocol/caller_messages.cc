#include "protocol/caller_messages.h"

namespace tanagerspan
{

int http_status_of(error_code code, outcome what)
{
    if (what == outcome::unknown)
        return 504;
    switch (code)
    {
    case error_code::malformed:
    case error_code::unknown_key:
    case error_code::out_of_range:
    case error_code::bad_version:
    case error_code::bad_signature:
        return 400;
    case error_code::too_large:
        return 413;
    case error_code::unknown_service:
    case error_code::unknown_transaction:
    case error_code::not_found:
        return 404;
    case error_code::conflict:
    case error_code::future_position:
        return 409;
    case error_code::queue_full:
    case error_code::over_limit:
        return 429;
    case error_code::deadline_passed:
    case error_code::unconfirmed:
        return 504;
    default:
        return 503;
    }
}

http_answer to_http(const statement_answer& answer, const std::string& token)
{
    if (answer.outcome_ != outcome::done)
    {
        auto out = to_http(answer.failure_, answer.outcome_);
        return out;
    }
    nlohmann::json body{{"outcome", "done"},
                        {"results", encode(answer.results_)},
                        {"position", encode(answer.position_)},
                        {"replica", answer.by_replica_},
                        {"served_by", answer.served_by_},
                        {"age_ms", answer.age_ms_},
                        {"replayed", answer.replayed_},
                        {"attempts", answer.attempts_},
                        {"token", token}};
    return {200, body.dump()};
}

http_answer to_http(const failure& cause, outcome what)
{
    nlohmann::json body{{"outcome", std::string(name_of(what))},
                        {"error", std::string(name_of(cause.code_))},
                        {"detail", cause.detail_}};
    return {
        http_status_of(cause.code_, what),
        body.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace)};
}

} // namespace tanagerspan
