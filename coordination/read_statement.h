#ifndef TANAGERSPAN_COORDINATION_READ_STATEMENT_H
#define TANAGERSPAN_COORDINATION_READ_STATEMENT_H

// State machine of one read: chooses a member, reads, and releases the answer
// only when its guarantees are known to hold.
//
// An answer at log position p is released when
//  * p is at or past the session token's position, so that a session sees its
//    own writes and never goes back in time;
//  * a majority holds p, so that no caller sees a write that a failover could
//    lose, and tokens carry only confirmed positions;
//  * the age of the answer is within the bound of the service class. If the
//    class has no bound: the class allows replicas and the read has a token,
//    or the answer is the primary's and the primary was certainly not replaced
//    before the read started.
//
// A replica may answer where the class allows it and the read has a token or
// an age bound. A replica that is slightly behind is given a bounded time to
// catch up; after that, or after a failure, another replica or the primary is
// asked. A read may be repeated: after a lost answer it is tried again, with
// at most `max_attempts_` attempts in all.
//
// Used by one traffic thread at a time; see coordination/statement.h.

#include <optional>
#include <vector>

#include "coordination/statement.h"

namespace tanagerspan
{

/// One read. See the head of the file.
class read_statement
{
public:
    struct options
    {
        instant started_{};
        instant deadline_{};
        log_position at_least_{}; ///< from the session token
        bool has_token_ = false;
        bool replica_reads_ = false;
        std::int64_t max_age_ms_ = 0; ///< 0: the class has no age bound
        std::int64_t replica_wait_ms_ = 30;
        std::int64_t backoff_ms_ = 10;
        int max_attempts_ = 6;
        std::uint64_t seed_ = 0; ///< spreads reads over replicas
    };

    explicit read_statement(options opts) : options_(opts)
    {
    }

    /// The next action; the answer once there is one.
    statement_action step(const group_view& view, instant now);
    /// Reports the result of the last `send_attempt`.
    void on_attempt(const attempt_result& got, instant now);

private:
    enum class answer_check
    {
        release,
        wait,
        reject
    };

    statement_action choose_member(const group_view& view, instant now);
    std::optional<std::size_t> choose_replica(const group_view& view,
                                              instant now) const;
    statement_action release(const group_view& view, instant now);
    answer_check check_answer(const group_view& view, instant now) const;
    std::optional<std::int64_t> age_of(const group_view& view,
                                       instant now) const;
    bool is_fresh_enough(const group_view& view, instant now) const;
    statement_action finish_failed(failure cause);
    bool replica_allowed() const
    {
        return options_.replica_reads_ &&
               (options_.has_token_ || options_.max_age_ms_ > 0);
    }

    options options_;
    std::optional<statement_answer> answer_;
    std::optional<execute_answer> read_answer_;
    std::vector<std::size_t> avoided_members_;
    failure last_cause_{error_code::no_primary, "no member could answer"};
    std::size_t member_ = 0;
    bool at_replica_ = false;
    instant sent_ = never;
    instant not_before_ = never;
    int attempts_ = 0;
};

} // namespace tanagerspan

#endif
