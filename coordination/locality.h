#ifndef TANAGERSPAN_COORDINATION_LOCALITY_H
#define TANAGERSPAN_COORDINATION_LOCALITY_H

// Decides which reads of a service stay in the own data centre and which are
// sent to another one (spill-over). See docs/design/locality.md.
//
// A read stays in the own data centre unless the expected time there exceeds
// that elsewhere, network included, by more than a margin. While it does, the
// share of the reads that are sent out rises; otherwise the share falls slowly.
// Whether a read belongs to the share is drawn once, from the seed and the
// read's id, so that a read that waits is not drawn again at each decision.
//
// Each home host decides for itself. It sees only its own statements in flight;
// the load of the other hosts shows in the response times.
//
//   locality places({.seed_ = hash_of_host_and_service});
//   auto decision = places.decide(candidates, {.statement_ = id}, now);
//   if (!decision.endpoint_) ... // wait for a connection
//
// Pure: no clock, no I/O. Not thread safe.

#include <array>
#include <cstddef>
#include <cstdint>
#include <limits>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <vector>

#include "state/instant.h"

namespace tanagerspan
{

/// The smallest value of the current and the previous period.
class recent_minimum
{
public:
    explicit recent_minimum(std::int64_t period_ms) : period_ms_(period_ms)
    {
    }

    void add(double value, instant now);
    /// Nullopt without enough recent values.
    std::optional<double> value(std::size_t min_values, instant now) const;

private:
    struct period
    {
        double smallest_ = std::numeric_limits<double>::infinity();
        std::size_t count_ = 0;
    };

    std::int64_t period_ms_;
    instant started_ = never;
    period current_;
    period previous_;
};

/// Estimates the network round trip to other data centres as the difference
/// between the smallest recent response times there and in the own one.
/// Responses of a set-up or of statements may be recorded, but the same kinds
/// for both sides.
class latency_estimate
{
public:
    struct options
    {
        /// Assumed before the first measurement: longer than the round trips
        /// of the known deployments (1 and 2.8 ms), so that reads stay local if
        /// in doubt, and shorter than most statements, so that an overload is
        /// still noticed.
        double assumed_ms_ = 10;
        /// Longer than a wave of demand, so that the smallest value is from a
        /// time with little load.
        std::int64_t period_ms_ = 30'000;
        /// Statements differ in their work. With this many values of each side
        /// the shortest kind is among them.
        std::size_t min_values_ = 8;
    };

    explicit latency_estimate(options opts)
        : options_(opts), own_(opts.period_ms_), other_(opts.period_ms_),
          ms_(opts.assumed_ms_)
    {
    }

    void on_response(bool own_data_centre, double took_ms, instant now);

    /// The last measurement remains valid while nothing is sent out.
    double ms() const
    {
        return ms_;
    }

private:
    options options_;
    recent_minimum own_;
    recent_minimum other_;
    double ms_;
};

/// What a home host knows about an endpoint when it decides about a read.
struct locality_candidate
{
    std::string_view id_;
    bool own_data_centre_ = false;
    bool primary_ = false;
    /// The endpoint may run this read: it has the required position and was
    /// not excluded.
    bool usable_ = true;
    /// The endpoint failed recently or is leaving.
    bool failed_ = false;
    /// A connection is idle or can be opened.
    bool connection_available_ = false;
    std::int64_t in_flight_ = 0; ///< statements of this host in flight
    std::int64_t slots_ = 1;
    /// Of recent answers as measured by this host, so it includes the network;
    /// 0 if unknown.
    double mean_response_ms_ = 0;
};

struct locality_request
{
    std::uint64_t statement_ = 0; ///< the same at each decision about a read
    std::int64_t waited_ms_ = 0;
    std::size_t waiting_ahead_ = 0; ///< statements that are granted before it
};

struct locality_decision
{
    /// The index of the endpoint; nullopt: wait, preferably for a connection
    /// in the own data centre.
    std::optional<std::size_t> endpoint_{};
    bool sent_out_ = false; ///< the endpoint is in another data centre
};

class locality
{
public:
    struct options
    {
        std::uint64_t seed_ = 1; ///< differs between hosts and services
        /// Spill-over pays if it is faster by more than this part of the
        /// expected remote time: means of few answers differ by about as much.
        double margin_part_ = 0.5;
        /// Twice the resolution of the clock.
        double min_margin_ms_ = 2;
        /// Some reads stay in the own data centre, because only their answers
        /// show that it has become faster.
        double max_share_ = 0.9;
        /// Per second, while spill-over saves at least twice the margin.
        double rise_per_s_ = 0.15;
        /// Added to the share for each margin that spill-over saves more, and
        /// subtracted for each that it saves less, so that the share follows
        /// waves of demand in both directions.
        double direct_part_ = 0.15;
        /// Per second: this much, and this part of the share. Demand changes
        /// within tens of seconds, so a share is given up within about ten.
        double fall_per_s_ = 0.02;
        double fall_part_per_s_ = 0.2;
        /// Time constant of the smoothed saving.
        double smoothing_ms_ = 500;
        /// The greatest weight of one decision in the smoothed saving. With few
        /// statements per second the mean of about 20 decisions counts, so that
        /// one slow answer sends nothing out.
        double max_weight_ = 0.05;
        /// The assumed response time counts as much as this many answers of an
        /// endpoint, so that a few short statements do not make it seem fast.
        double assumed_weight_ = 5;
        /// A mean that has not changed for this long counts as unknown.
        std::int64_t stale_ms_ = 5000;
        /// A read that has waited this many times the expected remote time is
        /// sent out even if it is not in the share.
        double overdue_factor_ = 3;
        /// The shortest time between two reports of the share, and the change
        /// that is worth a report.
        std::int64_t report_interval_ms_ = 2000;
        double reported_change_ = 0.05;
        latency_estimate::options latency_{};
    };

    explicit locality(options opts)
        : options_(opts), latency_(opts.latency_),
          fastest_(opts.latency_.period_ms_)
    {
    }

    locality_decision decide(std::span<const locality_candidate> candidates,
                             const locality_request& request, instant now);

    /// Records the response time of an answered read.
    void on_response(bool own_data_centre, double took_ms, instant now);

    /// The share of the reads that is sent out, from 0 to 1; 1 while the own
    /// data centre has no usable endpoint.
    double share() const
    {
        return all_failed_ ? 1.0 : share_;
    }
    double latency_ms() const
    {
        return latency_.ms();
    }
    /// The share, if it has changed noticeably since the last report and that
    /// report is long enough ago.
    std::optional<double> share_to_report(instant now);

private:
    struct observed_mean
    {
        std::string id_;
        double mean_ms_ = 0;
        instant changed_at_ = never;
        double changes_ = 0; ///< while no two were far apart
    };
    using indexes = std::vector<std::size_t>;

    void observe(std::span<const locality_candidate> candidates, instant now);
    /// The response time assumed for an endpoint of the own data centre without
    /// a recent measurement.
    double assumed_response_ms(instant now) const;
    std::vector<double>
    expected_times(std::span<const locality_candidate> candidates,
                   instant now) const;
    void update_share(double saving_ms, double margin_ms, instant now);
    std::size_t draw_remote(std::span<const locality_candidate> candidates,
                            const std::vector<double>& expected,
                            const indexes& from, std::uint64_t statement) const;
    /// From 0 to 1, the same for each call with the same arguments.
    double draw(std::uint64_t statement, std::uint64_t purpose) const;

    options options_;
    latency_estimate latency_;
    recent_minimum fastest_; ///< of `typical_ms_`
    double typical_ms_ = 0;  ///< mean response time without the network
    double answers_ = 0;
    std::vector<observed_mean> observed_;
    double lasting_share_ = 0; ///< changes slowly
    double share_ = 0;         ///< with the direct part
    bool all_failed_ = false;
    /// By how much spill-over is faster, as a multiple of the margin.
    double smoothed_saving_ = 0;
    instant updated_at_ = never;
    double reported_share_ = 0;
    instant reported_at_ = never;
};

} // namespace tanagerspan

#endif
