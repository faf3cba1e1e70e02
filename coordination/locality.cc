#include "coordination/locality.h"

#include <algorithm>
#include <cmath>
#include <iterator>
#include <utility>

#include <xxhash.h>

namespace tanagerspan
{
namespace
{

// Writes and freshness checks of all hosts run at the primary: it counts as if
// this many more statements of this host ran there (as in endpoint_choice.cc).
constexpr double primary_extra_load = 2.0;

// Response time assumed while nothing has been measured (as in
// endpoint_choice.cc).
constexpr double default_response_ms = 10.0;

// An unknown endpoint is assumed to take this many times the shortest recent
// mean: slower than one without load, faster than an overloaded one.
constexpr double unknown_factor = 1.5;

// An endpoint with all slots in use still gets a few of the reads that are sent
// out, because a slot becomes free at any moment.
constexpr double min_free_slots = 0.25;

constexpr std::uint64_t draw_of_share = 0;
constexpr std::uint64_t draw_of_endpoint = 1;

double load_of(const locality_candidate& one)
{
    return static_cast<double>(one.in_flight_) +
           (one.primary_ ? primary_extra_load : 0.0);
}

double slots_of(const locality_candidate& one)
{
    return static_cast<double>(std::max<std::int64_t>(one.slots_, 1));
}

std::optional<std::size_t> fastest_of(const std::vector<std::size_t>& from,
                                      const std::vector<double>& expected)
{
    auto best = std::min_element(from.begin(), from.end(),
                                 [&](std::size_t one, std::size_t other)
                                 {
                                     return expected[one] < expected[other];
                                 });
    return best == from.end() ? std::nullopt : std::optional(*best);
}

std::vector<std::size_t>
available_of(const std::vector<std::size_t>& from,
             std::span<const locality_candidate> candidates)
{
    std::vector<std::size_t> out;
    std::copy_if(from.begin(), from.end(), std::back_inserter(out),
                 [&](std::size_t at)
                 {
                     return candidates[at].connection_available_;
                 });
    return out;
}

} // namespace

void recent_minimum::add(double value, instant now)
{
    if (started_ == never || now - started_ >= 2 * period_ms_)
    {
        previous_ = {};
        current_ = {};
        started_ = now;
    }
    else if (now - started_ >= period_ms_)
    {
        previous_ = std::exchange(current_, {});
        started_ = started_ + period_ms_;
    }
    current_.smallest_ = std::min(current_.smallest_, value);
    ++current_.count_;
}

std::optional<double> recent_minimum::value(std::size_t min_values,
                                            instant now) const
{
    std::size_t count = current_.count_ + previous_.count_;
    if (started_ == never || now - started_ >= 2 * period_ms_ || count == 0 ||
        count < min_values)
        return std::nullopt;
    return std::min(current_.smallest_, previous_.smallest_);
}

void latency_estimate::on_response(bool own_data_centre, double took_ms,
                                   instant now)
{
    (own_data_centre ? own_ : other_).add(took_ms, now);
    auto own = own_.value(options_.min_values_, now);
    auto other = other_.value(options_.min_values_, now);
    if (own && other)
        ms_ = std::max(*other - *own, 0.0);
}

void locality::on_response(bool own_data_centre, double took_ms, instant now)
{
    latency_.on_response(own_data_centre, took_ms, now);
    double network = own_data_centre ? 0.0 : latency_.ms();
    // 1 ms is the resolution of the clock.
    double work = std::max(took_ms - network, 1.0);
    // Means, because the kinds of statements differ in their work.
    constexpr double answers_of_mean = 20;
    answers_ = std::min(answers_ + 1, answers_of_mean);
    typical_ms_ += (work - typical_ms_) / answers_;
    if (answers_ >= answers_of_mean)
        fastest_.add(typical_ms_, now);
}

void locality::observe(std::span<const locality_candidate> candidates,
                       instant now)
{
    std::erase_if(observed_,
                  [&](const observed_mean& known)
                  {
                      return std::none_of(candidates.begin(), candidates.end(),
                                          [&](const locality_candidate& one)
                                          {
                                              return one.id_ == known.id_;
                                          });
                  });
    for (const auto& one : candidates)
    {
        auto known = std::find_if(observed_.begin(), observed_.end(),
                                  [&](const observed_mean& each)
                                  {
                                      return each.id_ == one.id_;
                                  });
        if (known == observed_.end())
            observed_.push_back(
                {.id_ = std::string(one.id_),
                 .mean_ms_ = one.mean_response_ms_,
                 .changed_at_ = now,
                 .changes_ = one.mean_response_ms_ > 0 ? 1.0 : 0.0});
        else if (known->mean_ms_ != one.mean_response_ms_)
        {
            bool recent = now - known->changed_at_ < options_.stale_ms_;
            known->changes_ = recent ? known->changes_ + 1 : 1;
            known->mean_ms_ = one.mean_response_ms_;
            known->changed_at_ = now;
        }
    }
}

double locality::assumed_response_ms(instant now) const
{
    if (auto fastest = fastest_.value(1, now))
        return *fastest * unknown_factor;
    return answers_ > 0 ? typical_ms_ : default_response_ms;
}

std::vector<double>
locality::expected_times(std::span<const locality_candidate> candidates,
                         instant now) const
{
    double assumed = assumed_response_ms(now);
    std::vector<double> out;
    out.reserve(candidates.size());
    for (const auto& one : candidates)
    {
        auto known = std::find_if(observed_.begin(), observed_.end(),
                                  [&](const observed_mean& each)
                                  {
                                      return each.id_ == one.id_;
                                  });
        bool stale = known == observed_.end() ||
                     now - known->changed_at_ >= options_.stale_ms_;
        // The measured time of a remote endpoint includes the network.
        double network = one.own_data_centre_ ? 0.0 : latency_.ms();
        double work = assumed;
        if (one.mean_response_ms_ > 0 && !stale)
        {
            double measured = std::max(one.mean_response_ms_ - network, 0.0);
            work = (measured * known->changes_ +
                    assumed * options_.assumed_weight_) /
                   (known->changes_ + options_.assumed_weight_);
        }
        // With a free slot a statement takes its response time, not less.
        double rounds = std::max((load_of(one) + 1.0) / slots_of(one), 1.0);
        out.push_back(work * rounds + network);
    }
    return out;
}

double locality::draw(std::uint64_t statement, std::uint64_t purpose) const
{
    std::array<std::uint64_t, 2> input{statement, purpose};
    std::uint64_t hash =
        XXH3_64bits_withSeed(input.data(), sizeof input, options_.seed_);
    constexpr int kept_bits = 53; // of a double's mantissa
    return std::ldexp(static_cast<double>(hash >> (64 - kept_bits)),
                      -kept_bits);
}

std::size_t
locality::draw_remote(std::span<const locality_candidate> candidates,
                      const std::vector<double>& expected, const indexes& from,
                      std::uint64_t statement) const
{
    std::vector<double> weights;
    double total = 0;
    for (std::size_t at : from)
    {
        const auto& one = candidates[at];
        double free = std::max(slots_of(one) - load_of(one), min_free_slots);
        weights.push_back(free / std::max(expected[at], 1.0));
        total += weights.back();
    }
    double left = draw(statement, draw_of_endpoint) * total;
    for (std::size_t i = 0; i + 1 < from.size(); ++i)
    {
        left -= weights[i];
        if (left < 0)
            return from[i];
    }
    return from.back();
}

void locality::update_share(double saving_ms, double margin_ms, instant now)
{
    if (updated_at_ == never)
        updated_at_ = now;
    double passed_ms =
        static_cast<double>(std::max<std::int64_t>(now - updated_at_, 0));
    updated_at_ = now;
    // A bounded value: one extreme mean must not count for seconds.
    constexpr double max_saving = 3.0;
    double saving = std::clamp(saving_ms / margin_ms, -max_saving, max_saving);
    double weight =
        std::min(1.0 - std::exp(-passed_ms / options_.smoothing_ms_),
                 options_.max_weight_);
    smoothed_saving_ += (saving - smoothed_saving_) * weight;

    // The lasting share rises above one margin, stays as it is down to half of
    // it, and falls below. Both speeds go to zero at their limit, so that it
    // settles between them under steady load.
    constexpr double keep_above = 0.5;
    constexpr double longest_rise_ms = 100; // after a pause without reads
    if (smoothed_saving_ > 1.0)
    {
        double speed = std::min(smoothed_saving_ - 1.0, 1.0);
        lasting_share_ += options_.rise_per_s_ * speed *
                          std::min(passed_ms, longest_rise_ms) / 1000.0;
    }
    else if (smoothed_saving_ < keep_above)
    {
        double speed =
            std::min((keep_above - smoothed_saving_) / keep_above, 1.0);
        double fall_per_s =
            options_.fall_per_s_ + options_.fall_part_per_s_ * lasting_share_;
        lasting_share_ -= speed * fall_per_s * passed_ms / 1000.0;
    }
    lasting_share_ = std::clamp(lasting_share_, 0.0, options_.max_share_);
    share_ = std::clamp(lasting_share_ +
                            options_.direct_part_ * (smoothed_saving_ - 1.0),
                        0.0, options_.max_share_);
}

locality_decision
locality::decide(std::span<const locality_candidate> candidates,
                 const locality_request& request, instant now)
{
    observe(candidates, now);
    indexes own;
    indexes remote;
    indexes suspected;
    bool own_works = false;
    for (std::size_t at = 0; at < candidates.size(); ++at)
    {
        const auto& one = candidates[at];
        own_works = own_works || (one.own_data_centre_ && !one.failed_);
        if (!one.usable_)
            continue;
        if (one.failed_)
            suspected.push_back(at);
        else
            (one.own_data_centre_ ? own : remote).push_back(at);
    }
    all_failed_ = !own_works;
    if (all_failed_)
    {
        // Where the return starts once an endpoint works again.
        lasting_share_ = share_ = options_.max_share_;
        smoothed_saving_ = 1.0; // no direct part
        updated_at_ = now;
    }

    auto expected = expected_times(candidates, now);
    auto chosen = [&](std::optional<std::size_t> at) -> locality_decision
    {
        return {.endpoint_ = at,
                .sent_out_ = at && !candidates[*at].own_data_centre_};
    };
    auto open_remote = available_of(remote, candidates);
    auto open_own = available_of(own, candidates);
    if (own.empty())
    {
        if (!open_remote.empty())
            return chosen(draw_remote(candidates, expected, open_remote,
                                      request.statement_));
        // A wrong suspicion must not refuse work.
        if (remote.empty())
            return chosen(
                fastest_of(available_of(suspected, candidates), expected));
        return {};
    }

    std::size_t best_own = *fastest_of(own, expected);
    double own_ms = expected[best_own];
    if (open_own.empty())
    {
        // The own queue is served by the statements in flight, one each per
        // response time. A read that has waited longer than that shows a
        // longer queue.
        double running =
            std::max(static_cast<double>(candidates[best_own].in_flight_), 1.0);
        double queue_ms =
            own_ms * static_cast<double>(request.waiting_ahead_) / running;
        own_ms += std::max(queue_ms, static_cast<double>(request.waited_ms_));
    }
    if (auto best = fastest_of(open_remote, expected))
    {
        double remote_ms = expected[*best];
        double margin_ms = std::max(options_.margin_part_ * remote_ms,
                                    options_.min_margin_ms_);
        update_share(own_ms - remote_ms, margin_ms, now);
        bool overdue =
            open_own.empty() && static_cast<double>(request.waited_ms_) >
                                    options_.overdue_factor_ * remote_ms;
        bool in_share = draw(request.statement_, draw_of_share) < share_;
        // A read of the share that would lose time elsewhere stays.
        std::erase_if(open_remote,
                      [&](std::size_t at)
                      {
                          return expected[at] > own_ms + margin_ms;
                      });
        if ((in_share || overdue) && !open_remote.empty())
            return chosen(draw_remote(candidates, expected, open_remote,
                                      request.statement_));
    }
    return chosen(fastest_of(open_own, expected));
}

std::optional<double> locality::share_to_report(instant now)
{
    if (now - reported_at_ < options_.report_interval_ms_ ||
        std::abs(share() - reported_share_) < options_.reported_change_)
        return std::nullopt;
    reported_at_ = now;
    reported_share_ = share();
    return reported_share_;
}

} // namespace tanagerspan
