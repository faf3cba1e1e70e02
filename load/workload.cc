#include "load/workload.h"

namespace tanagerspan
{

result<workload> find_workload(std::string_view name)
{
    if (name == "kowalchuk")
        return workload{.name_ = "kowalchuk",
                        .team_ = "kowalchuk",
                        .service_ = "kowalchuk/orders",
                        .shares_ = {{work_kind::write, "organizer", 0.15},
                                    {work_kind::read_own, "organizer", 0.08},
                                    {work_kind::read_any, "gate", 0.57},
                                    {work_kind::list, "press", 0.20}}};
    if (name == "lineas_andinas")
        return workload{.name_ = "lineas_andinas",
                        .team_ = "lineas_andinas",
                        .service_ = "lineas_andinas/bookings",
                        .shares_ = {{work_kind::write, "franchisee", 0.10},
                                    {work_kind::read_own, "franchisee", 0.08},
                                    {work_kind::read_any, "crew", 0.32},
                                    {work_kind::list, "manager", 0.50}}};
    return fail(error_code::not_found,
                "workload: found " + std::string(name) +
                    ", allowed: kowalchuk, lineas_andinas");
}

const work_share& draw_share(const workload& from, std::mt19937_64& random)
{
    double at = std::uniform_real_distribution<double>(0, 1)(random);
    for (const auto& share : from.shares_)
    {
        if (at < share.share_)
            return share;
        at -= share.share_;
    }
    return from.shares_.back();
}

} // namespace tanagerspan
