#ifndef TANAGERSPAN_NODE_PROXY_NODE_H
#define TANAGERSPAN_NODE_PROXY_NODE_H

// A complete proxy: listeners, traffic and control. The program
// `tanager_proxy` only adds the command line, logging and signal handling.
//
//   proxy_node node(settings);
//   if (auto started = node.start(); !started) ...
//   node.wait_for_drain();   // returns after a drain has ended
//
// Graceful shutdown (drain) has three steps:
//   1. Readiness fails and the peers are notified. New work is still accepted
//      for `drain_notice_ms`, since they learn of the drain with a delay.
//   2. New work is refused as `not_run`.
//   3. Work in flight and open transactions may finish for at most
//      `drain_bound_ms`.

#include <memory>

#include "node/proxy_settings.h"

namespace tanagerspan
{

class proxy_node
{
public:
    explicit proxy_node(proxy_settings settings);
    ~proxy_node();

    /// Starts the control thread and the listeners. Errors: unavailable (an
    /// address cannot be bound).
    result<void> start();

    /// Requests the graceful shutdown; `wait_for_drain` carries it out. Any
    /// thread, but not a signal handler.
    void drain();

    /// Waits until a drain is requested, carries it out and returns true if no
    /// work in flight was aborted.
    bool wait_for_drain();

    /// Whether a drain was requested, by `drain` or by an operator.
    bool draining() const;

private:
    struct impl;
    std::unique_ptr<impl> impl_;
};

} // namespace tanagerspan

#endif
