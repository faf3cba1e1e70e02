#ifndef TANAGERSPAN_LOAD_WORKLOAD_H
#define TANAGERSPAN_LOAD_WORKLOAD_H

// The two workloads: the kinds of statements, their shares and the classes that
// they run in. Deterministic for a seed.

#include <random>
#include <string>
#include <string_view>
#include <vector>

#include "state/failure.h"

namespace tanagerspan
{

enum class work_kind
{
    write,    ///< insert a new order or booking, at most once
    read_own, ///< read the session's latest write
    read_any, ///< read any acknowledged key
    list      ///< read many keys, with a maximum age
};

struct work_share
{
    work_kind kind_;
    std::string class_;
    double share_; ///< of all statements; the shares sum to 1
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

/// Draws the kind of the next statement, by the shares.
const work_share& draw_share(const workload& from, std::mt19937_64& random);

} // namespace tanagerspan

#endif
