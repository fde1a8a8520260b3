/**
 * @file balancer_thread.h
 * Data thread of a balancer: datagrams of callers and agents, and the balancer core.
 */
#pragma once

#include "metrics_base.h"
#include "process_type.h"
#include "ring_type.h"
#include "settings_type.h"

#include <functional>
#include <memory>
#include <string>

namespace hawthorncroft {

/** The thread. Sockets are bound by open() before it starts. */
class BalancerThread {
public:
    /**
     * @param settings Settings of the process.
     * @param node Random number of this process.
     */
    BalancerThread(const ProcessSettings& settings, NodeId node);
    ~BalancerThread();
    BalancerThread(const BalancerThread&) = delete;
    BalancerThread& operator=(const BalancerThread&) = delete;

    /** Ends the thread and waits for it. Threads that push into each other's rings are all stopped before any is
     * destroyed. */
    void stop();

    /**
     * Binds the sockets.
     * @return What is wrong with which setting; empty path on success.
     */
    ConfigFault open();

    /**
     * Starts the thread.
     * @param toConfig Ring to the configuration thread; this thread is its only producer.
     * @param toControl Ring to the control thread for answers; this thread is its only producer.
     */
    void start(Ring<ConfigInput>& toConfig, Ring<ControlInput>& toControl);

    /**
     * Begins a graceful shutdown: opens are refused, everything else is forwarded until the grace time ends.
     * @param done Called on the data thread at the end of the grace time.
     */
    void shutDown(std::function<void()> done);

    /** @return Ring for the configuration thread's messages. */
    Ring<DataInput>& input();

    /** @return Ring for the control thread's questions. */
    Ring<ForwardedRequest>& controlRequests();

    /** @return Copies of the metrics, published once a second. */
    MetricsChannel& metrics();

private:
    struct Impl;
    std::unique_ptr<Impl> m_impl;
};

} // namespace hawthorncroft
