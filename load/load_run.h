#ifndef TANAGERSPAN_LOAD_LOAD_RUN_H
#define TANAGERSPAN_LOAD_LOAD_RUN_H

// Open-loop load generator for one workload: statements are due at seeded
// random times of a given rate, and latency counts from the due time, so that a
// slow fleet can't hide its latency by delaying the load. Sessions switch
// between proxies and retry statements that were not done; writes keep their
// request id.

#include <atomic>
#include <deque>
#include <memory>

#include "load/fleet_caller.h"
#include "load/history.h"
#include "load/workload.h"
#include "state/latency_histograms.h"

namespace tanagerspan
{

class load_run
{
public:
    struct options
    {
        workload workload_{};
        std::vector<std::string> proxies_{};
        double rate_per_s_ = 200;
        std::int64_t duration_ms_ = 3000;
        std::size_t workers_ = 16;
        std::size_t sessions_ = 64;
        std::uint64_t seed_ = 1;
        std::int64_t list_age_ms_ = 2000;
        std::int64_t retry_limit_ms_ = 20'000;
        bool progress_ = false;
    };

    explicit load_run(options opts);
    ~load_run();

    /// Runs the load, then audits the stored rows through every proxy. Returns
    /// false if a proxy could not be audited.
    bool run();

    const history& recorded_history() const
    {
        return history_;
    }
    const latency_histograms& latencies() const
    {
        return latencies_;
    }

private:
    struct session;

    void run_worker(std::size_t worker);
    void write(fleet_caller& caller, session& caller_session,
               const work_share& share, std::mt19937_64& random);
    void read_own(fleet_caller& caller, session& caller_session,
                  const work_share& share, std::mt19937_64& random);
    void read_any(fleet_caller& caller, session& caller_session,
                  const work_share& share, std::mt19937_64& random);
    void list(fleet_caller& caller, session& caller_session,
              const work_share& share, std::mt19937_64& random);
    caller_answer read(fleet_caller& caller, session& caller_session,
                       const work_share& share, operation op,
                       std::mt19937_64& random);
    bool audit();

    options options_;
    history history_;
    latency_histograms latencies_;
    std::deque<session> sessions_;
    std::string run_id_;
};

} // namespace tanagerspan

#endif
