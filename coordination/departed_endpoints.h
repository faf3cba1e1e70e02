#ifndef TANAGERSPAN_COORDINATION_DEPARTED_ENDPOINTS_H
#define TANAGERSPAN_COORDINATION_DEPARTED_ENDPOINTS_H

// The endpoints of one service whose entries were removed recently.
//
// An endpoint that is no longer listed may have confirmed changes that no other
// endpoint has, and if it is only cut off from the store it may still confirm
// more. A takeover attempt therefore asks it like the others. If it gives no
// answer, its log is bounded by a position that the primary's log had once the
// endpoint confirmed nothing more (see promotion_choice.h), that is, after a
// time within which a running endpoint would have been listed again.
//
//   departed.update(listed, now);
//   departed.merge(stored_record, now);
//   departed.bound_logs(health.marks_);
//   for (const auto& member : departed.members()) ...
//
// A new endpoint at the address of a departed one is its successor and has its
// log, so the departed one is dropped. An endpoint that starts again under its
// id has nothing of before: its former start has departed, with its log.
//
// A host that starts later has not seen the endpoints that departed before, so
// the store keeps a record of all endpoints whose logs are not bounded
// (member_record.h). `record` is what the store should have, and `merge` adds
// what the store has: a recorded endpoint that is not listed has departed.
//
// No I/O; the caller passes the time. Control thread only.

#include <cstdint>
#include <optional>
#include <span>
#include <string>
#include <utility>
#include <vector>

#include "coordination/freshness_marks.h"
#include "coordination/member_record.h"
#include "coordination/takeover.h"
#include "state/instant.h"
#include "state/service_catalogue.h"

namespace tanagerspan
{

class departed_endpoints
{
public:
    struct options
    {
        std::string service_; ///< of the endpoints
        /// After this time since the removal of its entry, an endpoint is
        /// assumed to confirm nothing more. The entry lapses about six seconds
        /// after the endpoint's last report, so by the end of this time the
        /// endpoint has been silent for longer than any network cut or restart
        /// lasts.
        std::int64_t confirms_ms_ = 10'000;
        /// Maximum number of departed endpoints; the oldest are dropped. A
        /// group has three to five members.
        std::size_t max_entries_ = 16;
    };

    explicit departed_endpoints(options opts) : options_(std::move(opts))
    {
    }

    /// `listed`: all current entries of the service.
    void update(std::span<const endpoint_entry> listed, instant now);

    /// Adds the endpoints of the stored record. Call it after the first
    /// `update`.
    void merge(const member_record& stored, instant now);

    /// Bounds the logs of departed endpoints by marks of the service's primary,
    /// the oldest first.
    void bound_logs(std::span<const freshness_mark> marks);

    /// What the store should have: the listed endpoints and the departed ones
    /// whose logs are not bounded.
    member_record record() const;

    /// Whether a mark that was asked for at `now` would bound a log.
    bool needs_mark(instant now) const;

    /// When `needs_mark` becomes true; `never` if all logs are bounded.
    instant next_mark_at() const;

    /// The departed endpoints as members of an attempt. A former start of an
    /// endpoint has an id of its own, for which `find` knows no entry.
    std::vector<takeover_member> members() const;

    /// Bounds what endpoints received that are in no record any more.
    log_position bound() const
    {
        return bound_;
    }

    /// The last entry of a departed endpoint, or null. Valid until `update`.
    const endpoint_entry* find(const std::string& id) const;

private:
    struct departed
    {
        endpoint_entry entry_;
        instant departed_at_ = never;
        std::optional<log_position> received_bound_{};
    };

    bool is_listed(const endpoint_entry& previous) const;
    /// Whether the endpoint has started again under its id.
    bool has_restarted(const endpoint_entry& previous) const;
    std::string attempt_id(const endpoint_entry& previous) const;
    void limit_entries();

    options options_;
    std::vector<endpoint_entry> listed_;
    std::vector<departed> departed_;
    log_position bound_{};
};

} // namespace tanagerspan

#endif
