#ifndef TANAGERSPAN_TESTING_FAKE_PROXY_H
#define TANAGERSPAN_TESTING_FAKE_PROXY_H

// Proxy on virtual time: the production decision classes (group_monitor,
// write_statement, read_statement) run against a fake_group. It can crash, and
// freeze for a time.

#include <functional>
#include <list>
#include <memory>
#include <string>

#include "coordination/group_monitor.h"
#include "coordination/read_statement.h"
#include "coordination/write_statement.h"
#include "testing/fake_group.h"

namespace tanagerspan
{

class fake_proxy
{
public:
    using reply = std::function<void(const statement_answer&)>;

    fake_proxy(event_loop& loop, fake_group& group, std::string name,
               std::size_t rank, std::uint64_t seed);

    void start();
    void kill();
    void freeze(std::int64_t ms);

    void write(std::vector<operation> operations, std::string request_id,
               std::int64_t deadline_ms, reply done);
    void read(std::vector<operation> operations, read_statement::options opts,
              reply done);

    bool is_running() const
    {
        return running_;
    }
    const std::string& name() const
    {
        return name_;
    }
    group_monitor& monitor()
    {
        return monitor_;
    }
    int claims() const
    {
        return claims_;
    }

private:
    struct statement;

    // Runs `work` now, or after a freeze ends; never after a crash.
    void run_when_awake(const std::function<void()>& work);
    void tick();
    void tick_monitor();
    void execute_action(const group_monitor::action& wanted);
    void advance(const std::shared_ptr<statement>& stmt);
    void send(const std::shared_ptr<statement>& stmt, const send_attempt& what);
    group_view current_view() const;

    event_loop& loop_;
    fake_group& group_;
    std::string name_;
    group_monitor monitor_;
    std::list<std::shared_ptr<statement>> waiting_;
    bool running_ = true;
    instant frozen_until_ = never;
    int claims_ = 0;
};

} // namespace tanagerspan

#endif
