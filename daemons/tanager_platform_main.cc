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

struct fault_order
{
    std::string kind_;
    std::int64_t value_ = 0;
};

constexpr auto fields_of(const fault_order*)
{
    return std::tuple{field{"kind", &fault_order::kind_, {.required_ = true}},
                      field{"value", &fault_order::value_}};
}

http_answer refuse(const failure& cause, int status = 409)
{
    return {status, encode(failure_record{std::string(name_of(cause.code_)),
                                          cause.detail_})
                        .dump()};
}

class platform_server
{
public:
    http_answer serve(const http_request& request)
    {
        if (request.path_ == "/fault")
            return fault(request.body_);
        if (slow_ms_ > 0)
            std::this_thread::sleep_for(std::chrono::milliseconds(slow_ms_));
        if (monotonic_now().ms_ < outage_until_)
            return refuse({error_code::unavailable, "outage"}, 503);
        auto answer = dispatch(request);
        constexpr std::string_view change_path = "/v1/table/change";
        if (request.path_ == change_path && lose_answers_ > 0)
        {
            // The change is applied, but the caller times out first.
            --lose_answers_;
            constexpr int longer_than_any_timeout_s = 30;
            std::this_thread::sleep_for(
                std::chrono::seconds(longer_than_any_timeout_s));
        }
        return answer;
    }

private:
    http_answer fault(const std::string& body)
    {
        auto order = decode_text<fault_order>(body);
        if (!order)
            return refuse(order.error());
        if (order->kind_ == "outage")
            outage_until_ = monotonic_now().ms_ + order->value_;
        else if (order->kind_ == "slow")
            slow_ms_ = order->value_;
        else if (order->kind_ == "lose_answers")
            lose_answers_ = order->value_;
        else
            return refuse({error_code::malformed, "no such fault"});
        return {200, R"({"done":true})"};
    }

    http_answer dispatch(const http_request& request)
    {
        constexpr std::string_view objects = "/v1/objects/";
        std::lock_guard lock(mutex_);
        if (request.path_.starts_with(objects))
            return object(request, request.path_.substr(objects.size()));
        if (request.path_ == "/v1/table/change")
        {
            auto wanted = decode_text<table_change>(request.body_);
            if (!wanted)
                return refuse(wanted.error());
            auto row = table_.change(*wanted);
            return row ? http_answer{200, encode(*row).dump()}
                       : refuse(row.error());
        }
        if (request.path_ == "/v1/set_hosts")
        {
            auto hosts = decode_text<std::vector<listed_host>>(request.body_);
            if (!hosts)
                return refuse(hosts.error());
            hosts_ = *hosts;
            return {200, R"({"done":true})"};
        }
        auto question = decode_text<table_query>(request.body_);
        if (!question)
            return refuse(question.error());
        if (request.path_ == "/v1/table/find")
        {
            auto row = table_.find(question->key_);
            return row ? http_answer{200, encode(*row).dump()}
                       : refuse(row.error());
        }
        if (request.path_ == "/v1/table/changed")
            return {200, encode(table_.changed_since(question->key_,
                                                     question->revision_))
                             .dump()};
        if (request.path_ == "/v1/hosts")
            return {200, encode(hosts_).dump()};
        return refuse({error_code::not_found, request.path_}, 404);
    }

    http_answer object(const http_request& request, const std::string& name)
    {
        if (request.method_ == "PUT")
        {
            objects_[name] = request.body_;
            return {200, R"({"done":true})"};
        }
        auto at = objects_.find(name);
        return at == objects_.end() ? refuse({error_code::not_found, name}, 404)
                                    : http_answer{200, at->second};
    }

    std::mutex mutex_;
    table_state table_;
    std::map<std::string, std::string> objects_;
    std::vector<listed_host> hosts_;
    std::atomic<std::int64_t> outage_until_{0};
    std::atomic<std::int64_t> slow_ms_{0};
    std::atomic<std::int64_t> lose_answers_{0};
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
                return server.serve(request);
            });
        if (auto started = listener.start(); !started)
        {
            std::cerr << started.error().detail_ << "\n";
            return 1;
        }
        while (true)
            std::this_thread::sleep_for(std::chrono::hours(1));
    }
    catch (const std::exception& bad)
    {
        std::cerr << bad.what() << "\n";
        return 2;
    }
}
