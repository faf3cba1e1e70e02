#ifndef TANAGERSPAN_COORDINATION_DEPARTED_ENDPOINTS_H
#define TANAGERSPAN_COORDINATION_DEPARTED_ENDPOINTS_H

// The endpoints of one service whose entries went away not long ago.
//
// An endpoint that is no longer listed may have vouched for changes that no
// other holds, and one that is only cut off from the store may still do so.
// An attempt therefore asks it like the others. If it gives no answer, its log
// counts as covered by a position that the primary's log had when it vouched
// no more (`promotion_choice.h`): after a time in which it would have been
// listed again.
//
//   departed.update(listed, now);
//   departed.cover(health.marks_);
//   for (const auto& member : departed.members()) ...
//
// Another endpoint at its address is its successor and has its log. A host
// that started later knows none of it.
//
// Pure; time comes in. Control thread only.

#include <cstdint>
#include <optional>
#include <span>
#include <string>
#include <vector>

#include "coordination/freshness_marks.h"
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
        /// Its entry lapsed some six seconds after its last word. With this
        /// it was silent for longer than any cut or restart takes.
        std::int64_t dead_ms_ = 10'000;
        /// Beyond it the oldest are forgotten; a group has three to five.
        std::size_t most_ = 16;
    };

    explicit departed_endpoints(options opts) : options_(opts)
    {
    }

    /// All entries of the service that stand now.
    void update(std::span<const endpoint_entry> listed, instant now);

    /// Marks of the service's primary, the oldest first.
    void cover(std::span<const freshness_mark> marks);

    std::vector<takeover_member> members() const;

    /// The entry that a departed endpoint had, or null.
    const endpoint_entry* find(const std::string& id) const;

private:
    struct departed
    {
        endpoint_entry entry_;
        instant since_ = never;
        std::optional<log_position> covered_{};
    };

    options options_;
    std::vector<endpoint_entry> listed_;
    std::vector<departed> departed_;
};

} // namespace tanagerspan

#endif
