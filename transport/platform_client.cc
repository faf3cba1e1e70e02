#include "transport/platform_client.h"

#include "transport/endpoint_client.h"

namespace tanagerspan
{

result<platform_table_row> platform_client::change(const table_change& wanted)
{
    return call_endpoint<platform_table_row>(connection_, "/v1/table/change",
                                             wanted, timeout_ms_);
}

result<platform_table_row> platform_client::find(std::string_view key)
{
    return call_endpoint<platform_table_row>(
        connection_, "/v1/table/find", table_query{.key_ = std::string(key)},
        timeout_ms_);
}

result<std::vector<platform_table_row>>
platform_client::changed_since(std::string_view prefix, std::uint64_t revision)
{
    return call_endpoint<std::vector<platform_table_row>>(
        connection_, "/v1/table/changed",
        table_query{.key_ = std::string(prefix), .revision_ = revision},
        timeout_ms_);
}

result<std::vector<listed_host>> platform_client::hosts()
{
    return call_endpoint<std::vector<listed_host>>(
        connection_, "/v1/hosts", table_query{.key_ = "all"}, timeout_ms_);
}

result<void> platform_client::put_object(std::string_view name,
                                         std::string_view content)
{
    auto answer = connection_.exchange(
        "PUT", "/v1/objects/" + std::string(name), content, timeout_ms_);
    if (!answer)
        return tl::unexpected(answer.error());
    constexpr int http_ok = 200;
    if (answer->status_ != http_ok)
        return tl::unexpected(refusal_of(*answer));
    return {};
}

result<std::string> platform_client::get_object(std::string_view name)
{
    auto answer = connection_.exchange(
        "GET", "/v1/objects/" + std::string(name), "", timeout_ms_);
    if (!answer)
        return tl::unexpected(answer.error());
    constexpr int http_ok = 200;
    if (answer->status_ != http_ok)
        return tl::unexpected(refusal_of(*answer));
    return std::move(answer->body_);
}

} // namespace tanagerspan
