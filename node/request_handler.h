#ifndef TANAGERSPAN_NODE_REQUEST_HANDLER_H
#define TANAGERSPAN_NODE_REQUEST_HANDLER_H

// Handles callers' requests over HTTP: statements and transactions. A request
// runs on this proxy if it is a home of the service; otherwise it is forwarded
// to a home, once. `write_statement` and `read_statement` (coordination/) make
// the decisions; this class executes them over real connections.
//
// Thread safe: the traffic threads call it concurrently. It reads the snapshot
// of the control thread and never waits for that thread.

#include <atomic>
#include <map>
#include <memory>
#include <mutex>
#include <string>

#include "coordination/read_statement.h"
#include "coordination/write_statement.h"
#include "node/control_loop.h"
#include "node/service_route.h"
#include "protocol/caller_messages.h"
#include "state/latency_histograms.h"
#include "state/session_token.h"

namespace tanagerspan
{

/// A caller's request as it is forwarded to a home.
struct forward_request
{
    std::string path_;
    std::string body_;
};

constexpr auto fields_of(const forward_request*)
{
    return std::tuple{
        field{"path", &forward_request::path_, {.max_ = 512}},
        field{"body", &forward_request::body_, {.max_ = 1'100'000}}};
}

/// The home's answer to a forwarded request.
struct forward_answer
{
    std::int64_t status_ = 0;
    std::string body_;
};

constexpr auto fields_of(const forward_answer*)
{
    return std::tuple{field{"status", &forward_answer::status_},
                      field{"body", &forward_answer::body_}};
}

class request_handler
{
public:
    request_handler(const proxy_settings& settings, control_loop& control,
                    peer_client& links, decision_journal& journal);
    ~request_handler();

    /// Answers `POST path`. `forwarded`: another proxy forwarded the request,
    /// so it is not forwarded again.
    http_answer handle(const std::string& path, const std::string& body,
                       bool forwarded);

    /// Refuses new statements and transactions from now on. Requests in flight
    /// and open transactions continue.
    void refuse_new_work()
    {
        refuses_new_work_ = true;
    }

    const node_counters& counters() const
    {
        return counters_;
    }
    node_counters& counters()
    {
        return counters_;
    }
    const latency_histograms& latencies() const
    {
        return latencies_;
    }
    std::size_t open_transactions() const;

private:
    struct transaction;
    struct statement_context;

    http_answer statement(const std::string& path, const std::string& body,
                          bool forwarded);
    http_answer transactions(const std::string& path, const std::string& body,
                             bool forwarded);
    http_answer begin(const std::string& path, const std::string& body,
                      bool forwarded);
    http_answer in_transaction(const std::string& handle,
                               const std::string& verb,
                               const std::string& body);
    http_answer run_transaction_statement(transaction& open,
                                          const std::string& body);
    http_answer commit(transaction& open, const std::string& body);
    http_answer forward(const service_route& route, const std::string& path,
                        const std::string& body, bool repeatable,
                        std::int64_t deadline_ms);
    http_answer forward_to(const std::string& address, const std::string& path,
                           const std::string& body, std::int64_t timeout_ms,
                           failure& cause);
    http_answer run_at_home(const service_route& route,
                            const statement_request& request,
                            const class_settings& rules, session_token token);

    result<class_settings>
    class_settings_of(const service_route& route,
                      const std::string& work_class) const;
    void forget_transaction(const std::string& handle);
    void expire_transactions(instant now);

    const proxy_settings& settings_;
    control_loop& control_;
    peer_client& links_;
    decision_journal& journal_;
    node_counters counters_;
    latency_histograms latencies_;
    std::atomic<bool> refuses_new_work_{false};
    std::atomic<std::uint64_t> next_handle_{1};
    std::atomic<std::uint64_t> next_seed_{1};
    mutable std::mutex transactions_mutex_;
    std::map<std::string, std::shared_ptr<transaction>> transactions_;
};

} // namespace tanagerspan

#endif
