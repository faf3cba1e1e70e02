#ifndef TANAGERSPAN_LOAD_WORKLOAD_H
#define TANAGERSPAN_LOAD_WORKLOAD_H

// The two workloads of the brief as mixes of work, each with the class that
// it runs in. Deterministic for a seed.

#include <random>
#include <string>
#include <string_view>
#include <vector>

#include "state/failure.h"

namespace tanagerspan
{

enum class work_kind
{
    place,   ///< insert a new order or booking; at most once
    reread,  ///< read the session's own latest one
    look_up, ///< read anybody's, by key
    list     ///< read many, of a stated age
};

struct work_share
{
    work_kind kind_;
    std::string class_;
    double share_; ///< of all statements; the shares add up to 1
};

struct workload
{
    std::string name_;
    std::string team_;
    std::string service_;
    std::vector<work_share> shares_;
};

/// Errors: not_found for a name that is neither kowalchuk nor lineas_andinas.
result<workload> find_workload(std::string_view name);

/// Draws the next piece of work.
const work_share& draw(const workload& from, std::mt19937_64& random);

} // namespace tanagerspan

#endif
