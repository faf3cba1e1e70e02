#ifndef TANAGERSPAN_NODE_LOCAL_RUN_H
#define TANAGERSPAN_NODE_LOCAL_RUN_H

// Executes one statement of a caller over this proxy's own connections to the
// endpoints of the service.
//
// The statement determines the endpoint and the way in which it is sent:
//   - A write goes to the primary. An endpoint that is not primary refuses it.
//   - A read that must see all acknowledged commits goes to the primary inside
//     a transaction that the proxy begins. A former primary answers a plain
//     read from its old log, but refuses the begin and whatever follows it.
//   - Any other read goes to any endpoint, together with a log position that
//     covers the commits that it must see. If no endpoint has reached the
//     position, the read goes to the primary as described above.
//   - The first statement of a transaction is sent after the begin has been
//     answered, so that it never runs outside of the transaction.
// coordination/attempt_policy.h decides what follows a failure.
//
// An unanswered read is repeated at another endpoint, within a retry budget;
// the first answer is delivered.
//
// Not thread safe: use on the traffic thread only.

#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "coordination/attempt_policy.h"
#include "node/endpoint_group.h"
#include "node/statement_run.h"

namespace tanagerspan
{

class local_run final : public statement_run,
                        public std::enable_shared_from_this<local_run>
{
public:
    local_run(std::shared_ptr<endpoint_group> group, run_options opts,
              done_handler done);

    void start() override;
    void tick(instant now) override;
    void abandon() override;

private:
    enum class mode
    {
        in_transaction, ///< in the caller's transaction
        write,
        primary_read,   ///< at the primary, in a transaction of the proxy
        positioned_read ///< at any endpoint that has reached a position
    };

    enum class phase
    {
        waiting, ///< for a connection or for the next attempt
        beginning,
        running,
        /// The commit was answered; the takeover rows are being read.
        confirming,
        finished
    };

    std::optional<position_requirement> required_position(instant now) const;
    void choose_mode(instant now);
    void next_attempt();
    void on_granted(const link_ptr& link);
    statement begin_statement() const;
    /// Gives the connection back and refuses the statement, which was not sent.
    void refuse_expired();
    void on_unservable(const refused_statement& why);
    void replay(const link_ptr& link);
    void send_begin();
    void on_begin(const link_ptr& link, const result<reply>& got);
    void send_statement();
    void on_statement(const link_ptr& link, const result<reply>& got);
    void await_rows(const link_ptr& link, const reply& got);
    void succeed(reply got);
    void accept_late_reply(const link_ptr& link, const reply& got);
    void on_failure(attempt_failure cause, const std::optional<reply>& got,
                    std::string_view detail);
    void report_to_group(attempt_failure cause, const std::optional<reply>& got,
                         instant now);
    void release_link(const attempt_decision& decision, instant now);
    void retry(instant now);
    void count_read(instant now);
    void deliver_error(const reply& got);
    void refuse(reply_error error, std::string_view why);
    void finish(run_outcome outcome);
    attempt_step step() const;
    load_counts& load() const;

    std::shared_ptr<endpoint_group> group_;
    run_options options_;
    done_handler done_;
    phase phase_ = phase::waiting;
    mode mode_ = mode::write;
    link_ptr link_;
    endpoint_group::request_id request_id_ = 0;
    std::optional<position_requirement> position_;
    std::vector<std::string> excluded_;
    std::int64_t attempts_ = 0;
    instant waiting_since_ = never;
    instant sent_at_ = never;
    instant retry_at_ = never;
    bool begun_ = false;       ///< this run began a transaction on the link
    bool use_primary_ = false; ///< endpoints lacked the position
    bool repeated_ = false;
};

} // namespace tanagerspan

#endif
