#ifndef TANAGERSPAN_NODE_OPERATOR_API_H
#define TANAGERSPAN_NODE_OPERATOR_API_H

// HTTP endpoints of a proxy for operators and the load balancer (docs/API.md):
// health, readiness, metrics, status, settings, drain, planned moves of a
// primary and the decision journal. Thread safe.

#include <atomic>
#include <functional>
#include <string>

#include "node/request_handler.h"
#include "transport/http_listener.h"

namespace tanagerspan
{

class operator_api
{
public:
    operator_api(const proxy_settings& settings, control_loop& control,
                 request_handler& handler, peer_client& client,
                 decision_journal& journal, std::function<void()> drain);

    /// Whether `path` belongs to this interface.
    static bool handles(const std::string& path);

    /// Answers a request whose path `handles` accepts.
    http_answer handle(const http_request& request);

    /// Makes the readiness check fail, so that the load balancer sends no new
    /// requests.
    void set_draining()
    {
        draining_ = true;
    }

private:
    http_answer ready();
    http_answer metrics();
    http_answer status();
    http_answer handle_settings(const http_request& request,
                                const std::string& rest);
    http_answer change_settings(const std::string& team,
                                const http_request& request, bool withdraw);
    http_answer settings_history(const std::string& team);
    http_answer move_primary(const std::string& body);

    const proxy_settings& settings_;
    control_loop& control_;
    request_handler& request_handler_;
    peer_client& peer_client_;
    decision_journal& journal_;
    std::function<void()> drain_;
    std::atomic<bool> draining_{false};
};

} // namespace tanagerspan

#endif
