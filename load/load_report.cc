#include "load/load_report.h"

#include <iomanip>
#include <ostream>
#include <sstream>

namespace tanagerspan
{
namespace
{

constexpr std::int64_t ms_per_s = 1000;
constexpr int label_width = 44;
constexpr int number_width = 9;

/// Parses a time such as 2026-12-04T10:00:00.123456Z, in ms since the epoch.
result<std::int64_t> parse_time(const std::string& text)
{
    std::tm parts{};
    double seconds = 0;
    std::istringstream in(text);
    in >> std::get_time(&parts, "%Y-%m-%dT%H:%M:") >> seconds;
    if (in.fail())
        return fail(error_code::malformed, "time: found " + text);
    return timegm(&parts) * ms_per_s +
           static_cast<std::int64_t>(seconds * static_cast<double>(ms_per_s));
}

std::int64_t sum(const std::map<std::string, std::int64_t>& counts)
{
    std::int64_t out = 0;
    for (const auto& [name, count] : counts)
        out += count;
    return out;
}

std::string listed(const std::map<std::string, std::int64_t>& counts)
{
    std::string out;
    for (const auto& [name, count] : counts)
        out += " " + name + "=" + std::to_string(count);
    return out;
}

void write_heading(std::ostream& out, std::string_view label)
{
    out << std::left << std::setw(label_width) << label << std::right;
    for (const char* name : {"answers", "in time", "late", "errors", "refused",
                             "wait ms", "replica"})
        out << std::setw(number_width) << name;
    out << "  refused while waiting; errors\n";
}

/// `wait ms` is the mean wait of granted statements, `replica` the percentage
/// of reads that ran at replicas.
void write_row(std::ostream& out, std::string_view label,
               const load_counts& row)
{
    constexpr std::int64_t percent = 100;
    std::int64_t errors = sum(row.errors_);
    std::int64_t reads = row.replica_reads_ + row.primary_reads_;
    out << std::left << std::setw(label_width) << label << std::right;
    for (std::int64_t value :
         {row.in_time_ + row.late_ + errors, row.in_time_, row.late_, errors,
          sum(row.refused_),
          row.granted_ == 0 ? 0 : row.waited_ms_ / row.granted_,
          reads == 0 ? 0 : row.replica_reads_ * percent / reads})
        out << std::setw(number_width) << value;
    out << " " << listed(row.refused_) << ";" << listed(row.errors_) << "\n";
}

nlohmann::json rows_of(const std::map<std::string, load_counts>& rows)
{
    nlohmann::json out = nlohmann::json::array();
    for (const auto& [label, counts] : rows)
        out.push_back({{"of", label}, {"counts", encode(counts)}});
    return out;
}

} // namespace

result<void> load_report::add_line(std::string_view line)
{
    auto begin = line.find('{');
    if (begin == std::string_view::npos ||
        line.find(R"("event":"load")") == std::string_view::npos)
        return fail(error_code::not_found, "no load event");
    auto body = parse_json(line.substr(begin));
    if (!body)
        return tl::unexpected(body.error());
    for (const char* key : {"time", "process", "service", "consistency"})
    {
        if (!body->contains(key) || !(*body)[key].is_string())
            return fail(error_code::malformed, std::string(key) + ": missing");
    }
    if (!body->contains("counts"))
        return fail(error_code::malformed, "counts: missing");
    auto counts = decode<load_counts>((*body)["counts"]);
    if (!counts)
        return tl::unexpected(counts.error());
    auto time = parse_time((*body)["time"].get<std::string>());
    if (!time)
        return tl::unexpected(time.error());
    std::string service = (*body)["service"].get<std::string>() + " " +
                          (*body)["consistency"].get<std::string>();
    std::int64_t window = *time / options_.window_ms_ * options_.window_ms_;
    by_window_[window][service].add(*counts);
    by_service_[service].add(*counts);
    by_proxy_[(*body)["process"].get<std::string>()].add(*counts);
    return {};
}

void load_report::write(std::ostream& out) const
{
    if (by_window_.empty())
    {
        out << "no load events\n";
        return;
    }
    std::int64_t first = by_window_.begin()->first;
    write_heading(out, "second, service");
    for (const auto& [at, services] : by_window_)
    {
        for (const auto& [service, counts] : services)
            write_row(out,
                      std::to_string((at - first) / ms_per_s) + " " + service,
                      counts);
    }
    write_heading(out, "\nservice");
    for (const auto& [service, counts] : by_service_)
        write_row(out, service, counts);
    write_heading(out, "\nproxy");
    for (const auto& [proxy, counts] : by_proxy_)
        write_row(out, proxy, counts);
}

nlohmann::json load_report::to_json() const
{
    nlohmann::json windows = nlohmann::json::array();
    for (const auto& [at, services] : by_window_)
        windows.push_back({{"at_ms", at}, {"services", rows_of(services)}});
    return {{"windows", windows},
            {"services", rows_of(by_service_)},
            {"proxies", rows_of(by_proxy_)}};
}

} // namespace tanagerspan
