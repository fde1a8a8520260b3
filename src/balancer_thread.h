/**
 * @file balancer_thread.h
 * Data thread of a balancer: exchanges datagrams with callers and agents and runs the balancer core.
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

/** Data thread of a balancer process. open() binds its sockets, start() starts it. */
class BalancerThread {
public:
    /**
     * @param settings Settings of the process.
     * @param node Random ID of this process.
     */
    BalancerThread(const ProcessSettings& settings, NodeId node);
    ~BalancerThread();
    BalancerThread(const BalancerThread&) = delete;
    BalancerThread& operator=(const BalancerThread&) = delete;

    /**
     * Stops the thread and waits for its end. Threads push into each other's rings, so all of them must be stopped
     * before any is destroyed.
     */
    void stop();

    /**
     * Binds the sockets.
     * @return The setting whose address could not be bound, with the error; its path is empty on success.
     */
    ConfigFault open();

    /**
     * Starts the thread.
     * @param toConfig Ring to the configuration thread; this thread is its only producer.
     * @param toControl Ring to the control thread for answers; this thread is its only producer.
     */
    void start(Ring<ConfigInput>& toConfig, Ring<ControlInput>& toControl);

    /**
     * Begins a graceful shutdown: refuses opens and forwards all other packets until the grace time ends.
     * @param done Called on the data thread at the end of the grace time.
     */
    void shutDown(std::function<void()> done);

    /** @return Ring for messages from the configuration thread, which is its only producer. */
    Ring<DataInput>& input();

    /** @return Ring for requests from the control thread, which is its only producer. */
    Ring<ForwardedRequest>& controlRequests();

    /** @return Channel on which a copy of the metrics is published once a second. */
    MetricsChannel& metrics();

private:
    struct Impl;
    std::unique_ptr<Impl> m_impl;
};

} // namespace hawthorncroft
