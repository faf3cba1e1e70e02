// Main program of the proxy on the users' platform: settings, threads and
// signals. The proxy itself is in node/ and platform/. The control thread owns
// fleet_control and its clients of the store and the promotion service; the
// main thread serves the traffic, the readiness and metrics requests and the
// signals. The two exchange only messages posted to each other's event loop.

#include <algorithm>
#include <csignal>
#include <cstdlib>
#include <iostream>
#include <thread>

#include <fcntl.h>
#include <unistd.h>

#include <utility>

#include <boost/asio/executor_work_guard.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/signal_set.hpp>
#include <cxxopts.hpp>

#include "node/fleet_control.h"
#include "node/traffic_server.h"
#include "platform/documents.h"
#include "platform/line_codec.h"
#include "platform/store_client.h"
#include "transport/http_responder.h"
#include "transport/json_log.h"
#include "transport/monotonic_clock.h"

namespace
{

using namespace tanagerspan; // NOLINT: a program's main file

constexpr int exit_ok = 0;
constexpr int exit_failed = 1;
constexpr int exit_usage = 2;

// Concurrency hint of an io_context: each event loop is run by one thread.
constexpr int single_thread_hint = 1;

struct edge_process
{
    explicit edge_process(platform::process_settings given)
        : settings_(std::move(given)),
          store_(control_, *parse_endpoint(settings_.store_address_)),
          promotion_client_(control_,
                            *parse_endpoint(settings_.promotion_address_)),
          traffic_server_(
              traffic_, {.codec_ = &codec_,
                         .host_name_ = settings_.host_name_,
                         .data_centre_ = settings_.data_centre_,
                         .callers_address_ = settings_.callers_address_,
                         .peers_address_ = settings_.peers_address(),
                         .max_settings_age_ms_ = settings_.max_settings_age_ms_,
                         .allowances_ = allowance_options(),
                         .allowance_buckets_ = bucket_options()}),
          http_responder_(traffic_,
                          [this](std::string_view, std::string_view target)
                          {
                              return answer_http_request(target);
                          }),
          fleet_control_(control_, store_, promotion_client_, control_options(),
                         outputs_with_relays())
    {
        traffic_server_.on_health_ =
            [this](const std::string& service, const primary_health& health)
        {
            boost::asio::post(control_,
                              [this, service, health]
                              {
                                  fleet_control_.on_health(service, health);
                              });
        };
        traffic_server_.on_rows_needed_ = [this]
        {
            boost::asio::post(control_,
                              [this]
                              {
                                  read_takeover_rows();
                              });
        };
        traffic_server_.on_allowance_check_ = [this](std::size_t slice)
        {
            boost::asio::post(control_,
                              [this, slice]
                              {
                                  fleet_control_.check_allowance_lease(slice);
                              });
        };
        traffic_server_.set_relay_service(
            [this](const relay_request& request,
                   std::function<void(const relay_reply&)> done)
            {
                boost::asio::post(control_,
                                  [this, request, done = std::move(done)]
                                  {
                                      answer_relayed(request, done);
                                  });
            });
    }

    /// Control thread.
    void read_takeover_rows()
    {
        fleet_control_.read_takeover_rows(
            [this](instant asked)
            {
                boost::asio::post(traffic_,
                                  [this, asked]
                                  {
                                      traffic_server_.on_rows_read(asked);
                                  });
            });
    }

    /// Control thread. `done` runs on the traffic thread.
    void answer_relayed(const relay_request& request,
                        const std::function<void(const relay_reply&)>& done)
    {
        fleet_control_.answer_relayed(request,
                                      [this, done](const relay_reply& reply)
                                      {
                                          boost::asio::post(traffic_,
                                                            [done, reply]
                                                            {
                                                                done(reply);
                                                            });
                                      });
    }

    /// Control thread. `done` runs on the control thread.
    void watch_at_relay(const fleet_host& relay, const relay_request& request,
                        const relay_reply_handler& done)
    {
        auto reply_to_control = [this, done](const result<relay_reply>& reply)
        {
            boost::asio::post(control_,
                              [done, reply]
                              {
                                  done(reply);
                              });
        };
        boost::asio::post(traffic_,
                          [this, relay, request, reply_to_control]
                          {
                              traffic_server_.watch_at_relay(relay, request,
                                                             reply_to_control);
                          });
    }

    /// Tokens are valid for less than the tolerated excess of a window.
    std::optional<allowance_balance::options> allowance_options() const
    {
        if (settings_.allowance_window_ms_ <= 0)
            return std::nullopt;
        constexpr double used_share_of_excess = 0.8;
        allowance_balance::options out;
        auto tolerated_ms = static_cast<std::int64_t>(
            static_cast<double>(settings_.allowance_window_ms_) *
            settings_.allowance_excess_ * used_share_of_excess);
        out.validity_ms_ = std::min(out.validity_ms_, tolerated_ms);
        return out;
    }

    /// Three tenths of the slack each for what full buckets hold and for what
    /// new holders start with; whole tokens, one a slice, use a part of the
    /// rest.
    allowance_buckets::options bucket_options() const
    {
        constexpr double used_share_of_slack = 0.3;
        double share = static_cast<double>(settings_.allowance_slack_) *
                       used_share_of_slack /
                       static_cast<double>(allowance_slices);
        return {.window_ms_ =
                    std::max<std::int64_t>(settings_.allowance_window_ms_, 1),
                .capacity_ = 1 + share,
                .initial_tokens_ = share};
    }

    /// Settings must take effect, and must be known to be current, in time.
    std::int64_t settings_bound_ms() const
    {
        return std::min(settings_.settings_bound_ms_,
                        settings_.max_settings_age_ms_.value_or(
                            settings_.settings_bound_ms_));
    }

    fleet_control::options control_options() const
    {
        return {.own_ = {settings_.host_name_, settings_.data_centre_,
                         settings_.peers_address()},
                .format_ = platform::catalogue(),
                .settings_bound_ms_ = settings_bound_ms(),
                .drain_ms_ = settings_.drain_ms_,
                .codec_ = &codec_,
                .confirms_settings_ =
                    settings_.max_settings_age_ms_.has_value(),
                .holds_allowances_ = settings_.allowance_window_ms_ > 0};
    }

    fleet_control::outputs control_outputs()
    {
        return {.routes_ =
                    [this](const route_table_ptr& routes)
                {
                    boost::asio::post(traffic_,
                                      [this, routes]
                                      {
                                          traffic_server_.set_routes(routes);
                                      });
                },
                .endpoints_ =
                    [this](const endpoint_list_ptr& endpoints,
                           const home_plan_ptr& plan)
                {
                    boost::asio::post(traffic_,
                                      [this, endpoints, plan]
                                      {
                                          traffic_server_.set_endpoints(
                                              endpoints, plan);
                                      });
                },
                .promoted_ =
                    [this](const std::string& service,
                           const std::string& endpoint, std::int64_t version)
                {
                    boost::asio::post(traffic_,
                                      [this, service, endpoint, version]
                                      {
                                          traffic_server_.set_promotion(
                                              service, {endpoint, version});
                                      });
                },
                .promotion_pending_ =
                    [this](const std::string& service,
                           const pending_promotion& order)
                {
                    boost::asio::post(traffic_,
                                      [this, service, order]
                                      {
                                          traffic_server_.set_pending_promotion(
                                              service, order);
                                      });
                },
                .mark_wanted_ =
                    [this](const std::string& service)
                {
                    boost::asio::post(traffic_,
                                      [this, service]
                                      {
                                          traffic_server_.report_mark(service);
                                      });
                },
                .settings_confirmed_ =
                    [this](instant at)
                {
                    boost::asio::post(
                        traffic_,
                        [this, at]
                        {
                            traffic_server_.set_settings_confirmed(at);
                        });
                },
                .hosts_ =
                    [this](const std::vector<fleet_host>& live)
                {
                    boost::asio::post(traffic_,
                                      [this, live]
                                      {
                                          traffic_server_.set_hosts(live);
                                      });
                },
                .allowance_lease_ =
                    [this](const allowance_lease_state& lease)
                {
                    boost::asio::post(traffic_,
                                      [this, lease]
                                      {
                                          traffic_server_.set_allowance_lease(
                                              lease);
                                      });
                }};
    }

    fleet_control::outputs outputs_with_relays()
    {
        auto out = control_outputs();
        out.watch_at_relay_ = [this](const fleet_host& relay,
                                     const relay_request& request,
                                     const relay_reply_handler& done)
        {
            watch_at_relay(relay, request, done);
        };
        return out;
    }

    http_reply answer_http_request(std::string_view target)
    {
        if (target == "/ready")
        {
            bool ready =
                !draining_ && traffic_server_.can_serve(monotonic_now());
            return {ready ? 200 : 503, ready ? "ready\n" : "not ready\n"};
        }
        if (target == "/metrics")
            return {200, traffic_server_.metrics() + fleet_control_.metrics()};
        return {404, "not found\n"};
    }

    void begin_drain()
    {
        if (std::exchange(draining_, true))
            return;
        log_line(log_level::info, "stopping", {});
        boost::asio::post(control_,
                          [this]
                          {
                              fleet_control_.leave([] {});
                          });
        traffic_server_.drain(drain_limits_within(settings_.grace_ms_),
                              []
                              {
                                  // No state needs to be flushed, so the
                                  // process exits without running destructors.
                                  std::_Exit(exit_ok);
                              });
    }

    int run()
    {
        for (auto started :
             {traffic_server_.start(),
              http_responder_.start(settings_.readiness_address_)})
        {
            if (!started)
            {
                log_line(log_level::error, "cannot_start",
                         {{"detail", started.error().detail_}});
                return exit_failed;
            }
        }
        log_line(log_level::info, "started",
                 {{"data_centre", settings_.data_centre_},
                  {"version", TANAGERSPAN_VERSION}});
        boost::asio::signal_set signals(traffic_, SIGTERM, SIGINT);
        signals.async_wait(
            [this](io_error cancelled, int)
            {
                if (!cancelled)
                    begin_drain();
            });
        boost::asio::post(control_,
                          [this]
                          {
                              fleet_control_.start();
                          });
        std::thread control(
            [this]
            {
                auto guard = boost::asio::make_work_guard(control_);
                control_.run();
            });
        traffic_.run();
        control.join();
        return exit_ok;
    }

    platform::process_settings settings_;
    platform::line_codec codec_;
    boost::asio::io_context control_{single_thread_hint};
    boost::asio::io_context traffic_{single_thread_hint};
    platform::store_client store_;
    platform::promotion_client promotion_client_;
    traffic_server traffic_server_;
    http_responder http_responder_;
    fleet_control fleet_control_;
    bool draining_ = false;
};

int report_usage_error(const failure& cause)
{
    std::cerr << name_of(cause.code_) << ": " << cause.detail_ << "\n";
    return exit_usage;
}

int start(const std::string& path, bool check_only)
{
    auto settings = platform::load_process_settings(path);
    if (!settings)
        return report_usage_error(settings.error());
    for (const std::string& address :
         {settings->store_address_, settings->promotion_address_,
          settings->callers_address_, settings->readiness_address_,
          settings->peers_address()})
    {
        if (auto parsed = parse_endpoint(address); !parsed)
            return report_usage_error(parsed.error());
    }
    if (check_only)
    {
        std::cout << "settings are good\n";
        return exit_ok;
    }
    std::signal(SIGPIPE, SIG_IGN);
    // The settings file is read only at startup: the platform's addresses and
    // limits don't change while a process runs, so SIGHUP has no effect.
    std::signal(SIGHUP, SIG_IGN);
    // Non-blocking, so that a slow reader of the log can't block the traffic.
    fcntl(STDOUT_FILENO, F_SETFL, fcntl(STDOUT_FILENO, F_GETFL) | O_NONBLOCK);
    start_json_log(settings->host_name_, log_level::info, std::cout);
    edge_process edge(std::move(*settings));
    return edge.run();
}

} // namespace

int main(int argc, char** argv)
{
    cxxopts::Options options("tanager_edge",
                             "Database proxy of the tanagerspan fleet for the "
                             "users' platform.");
    options.add_options()(
        "settings",
        "settings file; without it, the file that " +
            std::string(platform::settings_variable) + " names",
        cxxopts::value<std::string>())("check", "check the settings and exit")(
        "version", "print the version")("help", "print this help");
    try
    {
        auto given = options.parse(argc, argv);
        if (given.count("help") > 0)
        {
            std::cout << options.help()
                      << "\nExit: 0 done, 1 cannot start, 2 bad usage or "
                         "settings.\n";
            return exit_ok;
        }
        if (given.count("version") > 0)
        {
            std::cout << "tanager_edge " TANAGERSPAN_VERSION "\n";
            return exit_ok;
        }
        const char* environment_path = std::getenv(platform::settings_variable);
        std::string path =
            given.count("settings") > 0
                ? given["settings"].as<std::string>()
                : std::string(environment_path == nullptr ? ""
                                                          : environment_path);
        if (path.empty())
        {
            std::cerr << "--settings FILE is required; see --help\n";
            return exit_usage;
        }
        return start(path, given.count("check") > 0);
    }
    catch (const cxxopts::exceptions::exception& error)
    {
        std::cerr << error.what() << "\n";
        return exit_usage;
    }
}
