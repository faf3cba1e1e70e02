// Main program of the older proxy daemon: settings, log and signals. The proxy
// itself is in node/.

#include <csignal>
#include <iostream>
#include <thread>

#include <cxxopts.hpp>

#include "node/proxy_node.h"
#include "transport/json_log.h"

namespace
{

constexpr int exit_ok = 0;
constexpr int exit_failed = 1;
constexpr int exit_usage = 2;
constexpr int exit_drain_incomplete = 3;

tanagerspan::log_level parse_log_level(const std::string& name)
{
    using tanagerspan::log_level;
    if (name == "debug")
        return log_level::debug;
    if (name == "warning")
        return log_level::warning;
    return name == "error" ? log_level::error : log_level::info;
}

int run(const tanagerspan::proxy_settings& settings, const sigset_t& signals)
{
    tanagerspan::start_json_log(settings.name_,
                                parse_log_level(settings.log_level_));
    tanagerspan::proxy_node node(settings);
    if (auto started = node.start(); !started)
    {
        tanagerspan::log_line(tanagerspan::log_level::error, "cannot_start",
                              {{"detail", started.error().detail_}});
        std::_Exit(exit_failed);
    }
    std::thread signal_thread(
        [&]
        {
            int signal_number = 0;
            sigwait(&signals, &signal_number);
            node.drain();
        });
    signal_thread.detach();
    bool clean = node.wait_for_drain();
    // Idle connections of callers and peers still have running threads. There
    // is no state to save, so the process exits without joining them.
    std::_Exit(clean ? exit_ok : exit_drain_incomplete);
}

} // namespace

int main(int argc, char** argv)
{
    sigset_t signals;
    sigemptyset(&signals);
    sigaddset(&signals, SIGTERM);
    sigaddset(&signals, SIGINT);
    pthread_sigmask(SIG_BLOCK, &signals, nullptr);

    cxxopts::Options options("tanager_proxy",
                             "A proxy of the tanagerspan fleet.");
    options.add_options()("settings", "settings file (JSON with comments)",
                          cxxopts::value<std::string>())(
        "check", "check the settings and exit")("version", "print the version")(
        "help", "print this help");
    try
    {
        auto given = options.parse(argc, argv);
        if (given.count("help") > 0)
        {
            std::cout << options.help() << "\nExit: 0 done, 1 cannot start, 2 "
                      << "bad usage or settings, 3 drain cut short.\n";
            return exit_ok;
        }
        if (given.count("version") > 0)
        {
            std::cout << "tanager_proxy " TANAGERSPAN_VERSION "\n";
            return exit_ok;
        }
        if (given.count("settings") == 0)
        {
            std::cerr << "--settings FILE is required; see --help\n";
            return exit_usage;
        }
        auto settings = tanagerspan::load_proxy_settings(
            given["settings"].as<std::string>());
        if (!settings)
        {
            std::cerr << tanagerspan::name_of(settings.error().code_) << ": "
                      << settings.error().detail_ << "\n";
            return exit_usage;
        }
        if (given.count("check") > 0)
        {
            std::cout << "settings are good\n";
            return exit_ok;
        }
        return run(*settings, signals);
    }
    catch (const cxxopts::exceptions::exception& error)
    {
        std::cerr << error.what() << "\n";
        return exit_usage;
    }
}
