#ifndef TANAGERSPAN_NODE_PROXY_NODE_H
#define TANAGERSPAN_NODE_PROXY_NODE_H

// A whole proxy: listeners, traffic, control. The daemon is a thin shell
// around it.
//
//   proxy_node node(settings);
//   if (auto started = node.start(); !started) ...
//   node.wait_for_drain();   // until drained by an operator or `drain`
//
// Graceful shutdown: the balancer and the peers are told at once; new work is
// taken for `drain_notice_ms` more, since they hear it late; then new work is
// refused as not run, and what is in flight, with open transactions, is
// finished for at most `drain_bound_ms`.

#include <memory>

#include "node/proxy_settings.h"

namespace tanagerspan
{

class proxy_node
{
public:
    explicit proxy_node(proxy_settings settings);
    ~proxy_node();

    /// Errors: unavailable (an address cannot be had).
    result<void> start();

    /// Starts the graceful shutdown. Any thread; not from a signal handler.
    void drain();

    /// Returns when a drain has ended; true if nothing in flight was cut.
    bool wait_for_drain();

    /// Whether a drain was started, by anyone.
    bool draining() const;

private:
    struct impl;
    std::unique_ptr<impl> impl_;
};

} // namespace tanagerspan

#endif
