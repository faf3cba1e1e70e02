#include "coordination/promotion_choice.h"

#include <algorithm>
#include <tuple>
#include <utility>

namespace tanagerspan
{
namespace
{

using obstacle = promotion_obstacle;

const replica_log* find_log(const promotion_evidence& known,
                            const std::string& id)
{
    auto at = std::find_if(known.logs_.begin(), known.logs_.end(),
                           [&id](const replica_log& log)
                           {
                               return log.id_ == id;
                           });
    return at == known.logs_.end() ? nullptr : &*at;
}

/// Orders logs that contain the floor: the larger value is the longer log.
auto end_of_log(const replica_log& log)
{
    return std::pair{log.term_, log.received_->index_};
}

bool contains_floor(const promotion_evidence& known, const replica_log& log)
{
    const log_position& at = *log.received_;
    if (at.index_ < known.floor_.index_)
        return false;
    // Entries of a term between the two were written by a primary whose log
    // the promoted endpoint did not have.
    return at.term_ == known.floor_.term_ || at.term_ >= known.floor_term_;
}

/// Whether `candidate` contains every change that `other` may have confirmed.
obstacle compare_logs(const promotion_evidence& known,
                      const replica_log& candidate, const replica_log& other,
                      bool may_grow)
{
    if (other.received_ && end_of_log(other) > end_of_log(candidate))
        return obstacle::behind;
    if (!other.received_)
    {
        bool bounded = other.received_bound_ &&
                       *other.received_bound_ <= *candidate.received_;
        bool covered = !other.listed_ && (bounded || known.unread_logs_lost_);
        return covered ? obstacle::none : obstacle::log_unknown;
    }
    return may_grow && !other.fixed_ ? obstacle::log_may_grow : obstacle::none;
}

obstacle check_candidate(const promotion_evidence& known,
                         const replica_log& candidate)
{
    bool ordered_other =
        known.ordered_before_.value_or(candidate.id_) != candidate.id_;
    if (ordered_other)
        return obstacle::order_pending;
    if (!contains_floor(known, candidate))
        return obstacle::below_floor;
    const replica_log* primary = nullptr;
    if (known.stepped_down_)
        primary = find_log(known, *known.stepped_down_);
    bool stepped_down = primary != nullptr && primary->received_;
    bool contains_primary =
        stepped_down && end_of_log(candidate) >= end_of_log(*primary);
    if (stepped_down && !contains_primary)
    {
        // Without a floor the candidate's log is only known to be complete if
        // it has reached the primary's term.
        bool earlier_terms_complete =
            known.floor_term_ != 0 || candidate.term_ == primary->term_;
        if (!earlier_terms_complete)
            return obstacle::below_floor;
    }
    bool may_exceed = known.departed_bound_ > *candidate.received_ &&
                      !known.unread_logs_lost_;
    if (!contains_primary && may_exceed)
        return obstacle::log_unknown;
    bool one_may_be_unknown = known.primary_unknown_ && !stepped_down;
    for (const auto& other : known.logs_)
    {
        if (&other == &candidate || &other == primary)
            continue;
        obstacle found = compare_logs(known, candidate, other, !stepped_down);
        bool unknown = found == obstacle::log_unknown;
        if (unknown && std::exchange(one_may_be_unknown, false))
            continue;
        if (found != obstacle::none && !(contains_primary && unknown))
            return found;
    }
    return contains_primary || known.members_complete_
               ? obstacle::none
               : obstacle::members_unknown;
}

} // namespace

std::string_view name_of(promotion_obstacle obstacle)
{
    switch (obstacle)
    {
    case obstacle::none:
        return "none";
    case obstacle::no_answer:
        return "no endpoint answered";
    case obstacle::log_unknown:
        return "an endpoint without an answer may have a longer log";
    case obstacle::log_may_grow:
        return "another log may still grow";
    case obstacle::behind:
        return "another log is longer";
    case obstacle::members_unknown:
        return "an endpoint that is not known may have a longer log";
    case obstacle::below_floor:
        return "no log contains the start of the last term";
    default:
        return "a promotion order for another endpoint may be pending";
    }
}

promotion_choice choose_promotion(const promotion_evidence& known)
{
    promotion_choice out{"", obstacle::no_answer};
    const replica_log* best = nullptr;
    const replica_log* longest = nullptr;
    auto rank = [&known](const replica_log& log)
    {
        return std::tuple{log.id_ == known.ordered_before_, !log.leaving_,
                          log.id_ != known.stepped_down_, end_of_log(log)};
    };
    for (const auto& log : known.logs_)
    {
        if (!log.received_ || !log.listed_)
            continue;
        obstacle found = check_candidate(known, log);
        out.needs_members_ =
            out.needs_members_ || found == obstacle::members_unknown;
        if (found == obstacle::none &&
            (best == nullptr || rank(log) > rank(*best)))
            best = &log;
        // The obstacle of the longest log explains a refusal best.
        if (longest == nullptr || end_of_log(log) > end_of_log(*longest))
        {
            longest = &log;
            out.why_not_ = found;
        }
    }
    if (best != nullptr)
    {
        out.id_ = best->id_;
        out.why_not_ = obstacle::none;
    }
    return out;
}

} // namespace tanagerspan
