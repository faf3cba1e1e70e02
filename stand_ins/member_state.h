#ifndef TANAGERSPAN_STAND_INS_MEMBER_STATE_H
#define TANAGERSPAN_STAND_INS_MEMBER_STATE_H

// Stand-in for one member of a database group: a transactional key-value store
// with a replicated log, without I/O. tanager_member and the fakes of the tests
// both use this class. It makes none of the proxy's decisions;
// docs/STAND-INS.md lists what a proxy may assume about a member.
//
// Replication is asynchronous: a replica pulls the entries after the end of its
// own log from the primary and applies them. A replica whose log ends in
// entries that the primary doesn't have truncates them. The promised term, the
// claimant and the log survive a crash.

#include <map>
#include <optional>
#include <string>
#include <vector>

#include "state/endpoint_records.h"
#include "state/instant.h"

namespace tanagerspan
{

/// One committed transaction.
struct log_entry
{
    std::uint64_t term_ = 0;
    std::string request_id_;
    std::vector<operation> operations_;
    std::vector<operation_result> results_;
};

constexpr auto fields_of(const log_entry*)
{
    return std::tuple{field{"term", &log_entry::term_},
                      field{"request_id", &log_entry::request_id_},
                      field{"operations", &log_entry::operations_},
                      field{"results", &log_entry::results_}};
}

/// A replica's request for the log entries after `index_`. `last_term_` is the
/// term of the replica's entry at `index_`, `promised_` the term that the
/// replica has promised.
struct pull_request
{
    std::uint64_t promised_ = 0;
    std::uint64_t index_ = 0;
    std::uint64_t last_term_ = 0;
};

constexpr auto fields_of(const pull_request*)
{
    return std::tuple{field{"promised", &pull_request::promised_},
                      field{"index", &pull_request::index_},
                      field{"last_term", &pull_request::last_term_}};
}

/// The primary's response to a pull. `diverged_` means that the replica's last
/// entry isn't in the primary's log: the replica drops that entry and pulls
/// again.
struct pull_answer
{
    std::uint64_t term_ = 0;
    std::string claimant_;
    bool diverged_ = false;
    std::vector<log_entry> entries_;
};

constexpr auto fields_of(const pull_answer*)
{
    return std::tuple{field{"term", &pull_answer::term_},
                      field{"claimant", &pull_answer::claimant_},
                      field{"diverged", &pull_answer::diverged_},
                      field{"entries", &pull_answer::entries_}};
}

class member_state
{
public:
    result<execute_answer> execute(const execute_request& request, instant now);
    result<execute_answer> read(const std::vector<operation>& operations) const;
    member_status status(instant now) const;

    /// Promises the term to the claimant if the term is higher than the
    /// promised one. The returned status holds the promised term and its
    /// claimant.
    member_status promise(const term_order& order, instant now);

    /// Becomes primary of the term if it was promised to this claimant.
    member_status lead(const term_order& order, instant now);

    /// Refuses writes of this term for `hold_ms` milliseconds.
    member_status hold(std::uint64_t term, std::int64_t hold_ms, instant now);

    result<pull_answer> serve_pull(const pull_request& request,
                                   std::size_t max_entries) const;
    pull_request make_pull_request() const;
    void apply_pull(const pull_request& asked, const pull_answer& got);

    /// Records that a primary of `term` responded to a pull at `now`.
    void record_primary_contact(std::uint64_t term, instant now);

    /// Interactive transactions: `begin` returns a handle for `run_in`,
    /// `commit` and `rollback`. `run_in` and `commit` return
    /// unknown_transaction if the handle is unknown or was idle for more than
    /// five seconds.
    result<std::string> begin(std::uint64_t term, instant now);
    result<execute_answer> run_in(const std::string& handle,
                                  const std::vector<operation>& operations,
                                  instant now);
    result<execute_answer> commit(const std::string& handle,
                                  const std::string& request_id, instant now);
    void rollback(const std::string& handle);

    void set_leaving(bool leaving)
    {
        leaving_ = leaving;
    }
    log_position position() const;
    const std::vector<log_entry>& log() const
    {
        return log_;
    }
    bool leading() const
    {
        return leading_;
    }

private:
    using rows = std::map<std::string, std::string>;

    struct transaction
    {
        rows overlay_;
        std::vector<operation> operations_;
        std::vector<operation_result> results_;
        std::uint64_t start_index_ = 0;
        instant last_used_;
    };

    static operation_result evaluate(const rows& data, const operation& op);
    void append(log_entry entry);
    void rebuild_from_log();
    result<void> check_primary(std::uint64_t term, instant now) const;
    void expire_transactions(instant now);

    std::uint64_t promised_ = 0;
    std::string claimant_;
    bool leading_ = false;
    bool leaving_ = false;
    instant writes_held_until_ = never;
    instant primary_contact_at_ = never;
    std::vector<log_entry> log_;
    rows data_;
    std::map<std::string, std::uint64_t> last_change_;
    std::map<std::string, std::uint64_t> request_ids_;
    std::map<std::string, transaction> transactions_;
    std::uint64_t next_transaction_ = 1;
};

} // namespace tanagerspan

#endif
