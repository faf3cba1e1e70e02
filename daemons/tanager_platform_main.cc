// Stand-in process for the platform's services: tables, objects and the list of
// hosts over HTTP. Requests to /fault inject outages, delays, and responses
// that are lost after the change was applied. docs/STAND-INS.md specifies it.

#include <atomic>
#include <iostream>
#include <mutex>
#include <thread>

#include <cxxopts.hpp>

#include "protocol/platform_messages.h"
#include "stand_ins/table_state.h"
#include "state/endpoint_records.h"
#include "transport/http_listener.h"
#include "transport/monotonic_clock.h"

namespace tanagerspan
{
namespace
{

struct fault_request
{
    std::string kind_;
    std::int64_t value_ = 0;
};

constexpr auto fields_of(const fault_request*)
{
    return std::tuple{field{"kind", &fault_request::kind_, {.required_ = true}},
                      field{"value", &fault_request::value_}};
}

http_answer error_response(const failure& cause, int status = 409)
{
    return {status, encode(failure_record{std::string(name_of(cause.code_)),
                                          cause.detail_})
                        .dump()};
}

class platform_server
{
public:
    http_answer handle_request(const http_request& request)
    {
        if (request.path_ == "/fault")
            return inject_fault(request.body_);
        if (slow_ms_ > 0)
            std::this_thread::sleep_for(std::chrono::milliseconds(slow_ms_));
        if (monotonic_now().ms_ < outage_until_ms_)
            return error_response({error_code::unavailable, "outage"}, 503);
        auto answer = dispatch(request);
        constexpr std::string_view change_path = "/v1/table/change";
        if (request.path_ == change_path && responses_to_lose_ > 0)
        {
            // The change is applied, but the caller times out first.
            --responses_to_lose_;
            constexpr int lost_response_delay_s = 30;
            std::this_thread::sleep_for(
                std::chrono::seconds(lost_response_delay_s));
        }
        return answer;
    }

private:
    http_answer inject_fault(const std::string& body)
    {
        auto fault = decode_text<fault_request>(body);
        if (!fault)
            return error_response(fault.error());
        if (fault->kind_ == "outage")
            outage_until_ms_ = monotonic_now().ms_ + fault->value_;
        else if (fault->kind_ == "slow")
            slow_ms_ = fault->value_;
        else if (fault->kind_ == "lose_answers")
            responses_to_lose_ = fault->value_;
        else
            return error_response(
                {error_code::malformed, "unknown fault: " + fault->kind_});
        return {200, R"({"done":true})"};
    }

    http_answer dispatch(const http_request& request)
    {
        constexpr std::string_view objects = "/v1/objects/";
        std::lock_guard lock(mutex_);
        if (request.path_.starts_with(objects))
            return serve_object(request, request.path_.substr(objects.size()));
        if (request.path_ == "/v1/table/change")
        {
            auto wanted = decode_text<table_change>(request.body_);
            if (!wanted)
                return error_response(wanted.error());
            auto row = table_.change(*wanted);
            return row ? http_answer{200, encode(*row).dump()}
                       : error_response(row.error());
        }
        if (request.path_ == "/v1/set_hosts")
        {
            auto hosts = decode_text<std::vector<listed_host>>(request.body_);
            if (!hosts)
                return error_response(hosts.error());
            hosts_ = *hosts;
            return {200, R"({"done":true})"};
        }
        auto query = decode_text<table_query>(request.body_);
        if (!query)
            return error_response(query.error());
        if (request.path_ == "/v1/table/find")
        {
            auto row = table_.find(query->key_);
            return row ? http_answer{200, encode(*row).dump()}
                       : error_response(row.error());
        }
        if (request.path_ == "/v1/table/changed")
            return {200,
                    encode(table_.changed_since(query->key_, query->revision_))
                        .dump()};
        if (request.path_ == "/v1/hosts")
            return {200, encode(hosts_).dump()};
        return error_response({error_code::not_found, request.path_}, 404);
    }

    http_answer serve_object(const http_request& request,
                             const std::string& name)
    {
        if (request.method_ == "PUT")
        {
            objects_[name] = request.body_;
            return {200, R"({"done":true})"};
        }
        auto at = objects_.find(name);
        return at == objects_.end()
                   ? error_response({error_code::not_found, name}, 404)
                   : http_answer{200, at->second};
    }

    std::mutex mutex_;
    table_state table_;
    std::map<std::string, std::string> objects_;
    std::vector<listed_host> hosts_;
    std::atomic<std::int64_t> outage_until_ms_{0};
    std::atomic<std::int64_t> slow_ms_{0};
    std::atomic<std::int64_t> responses_to_lose_{0};
};

} // namespace
} // namespace tanagerspan

int main(int argc, char** argv)
{
    cxxopts::Options options("tanager_platform",
                             "A stand-in for the platform's services.");
    options.add_options()("address", "IP:PORT",
                          cxxopts::value<std::string>())("help", "help");
    try
    {
        auto given = options.parse(argc, argv);
        if (given.count("help") > 0 || given.count("address") == 0)
        {
            std::cout << options.help();
            return given.count("help") > 0 ? 0 : 2;
        }
        tanagerspan::platform_server server;
        constexpr int connections = 512;
        tanagerspan::http_listener listener(
            {.address_ = given["address"].as<std::string>(),
             .max_connections_ = connections},
            [&](const tanagerspan::http_request& request)
            {
                return server.handle_request(request);
            });
        if (auto started = listener.start(); !started)
        {
            std::cerr << started.error().detail_ << "\n";
            return 1;
        }
        while (true)
            std::this_thread::sleep_for(std::chrono::hours(1));
    }
    catch (const std::exception& error)
    {
        std::cerr << error.what() << "\n";
        return 2;
    }
}
