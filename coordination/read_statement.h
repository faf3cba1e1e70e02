#ifndef TANAGERSPAN_COORDINATION_READ_STATEMENT_H
#define TANAGERSPAN_COORDINATION_READ_STATEMENT_H

// One read of one caller: choose a member, read, and release the answer only
// when it is known to be good enough.
//
// An answer at position p is released when
//  * p covers the session token's position: the session sees its own writes
//    and never runs backwards;
//  * a majority holds p: nobody sees a write that a failover could still
//    lose, so tokens only ever carry confirmed positions;
//  * its age bound is within the class's, or, where neither a token nor an
//    age allows less, its primary was certainly not replaced when the read
//    began.
//
// A replica may answer where the class allows it and there is a token or an
// age bound to hold it to. A replica that is slightly behind is asked to wait
// a bounded time; after that, or after a failure, the primary is asked.
// A read is repeatable: a lost answer costs another attempt, at most
// `max_attempts_` in all.

#include <optional>
#include <vector>

#include "coordination/statement.h"

namespace tanagerspan
{

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
        std::int64_t max_age_ms_ = 0; ///< 0: the class states no age
        std::int64_t replica_wait_ms_ = 30;
        std::int64_t backoff_ms_ = 10;
        int max_attempts_ = 6;
        std::uint64_t seed_ = 0; ///< spreads reads over equal replicas
    };

    explicit read_statement(options opts) : options_(opts)
    {
    }

    statement_action step(const group_view& view, instant now);
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
