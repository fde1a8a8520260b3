/**
 * @file agent_thread.h
 * Data thread of an agent. It exchanges datagrams with balancers and agents, runs the agent core and owns the target
 * thread.
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

/** Data thread of an agent. open() must bind the socket before start(). */
class AgentThread {
public:
    /**
     * @param settings Settings of the process.
     * @param node Random id of this process; not used by an agent.
     */
    AgentThread(const ProcessSettings& settings, NodeId node);
    ~AgentThread();
    AgentThread(const AgentThread&) = delete;
    AgentThread& operator=(const AgentThread&) = delete;

    /** Stops the thread and waits for its end. Threads that push into each other's rings must all be stopped before any
     * of them is destroyed. */
    void stop();

    /**
     * Binds the socket.
     * @return The invalid setting and the reason; the path is empty on success.
     */
    ConfigFault open();

    /**
     * Starts the thread.
     * @param toConfig Ring to the configuration thread. This thread is its only producer.
     * @param toControl Ring to the control thread for replies. This thread is its only producer.
     */
    void start(Ring<ConfigInput>& toConfig, Ring<ControlInput>& toControl);

    /**
     * Begins a graceful shutdown: new Opens are not accepted, running requests finish and their answers are delivered.
     * Feeds and uploads are left to the next agent process, which adopts them.
     * @param done Called on the data thread when all requests have finished or `shutdownSeconds` have passed.
     */
    void shutDown(std::function<void()> done);

    /** @return Ring for messages of the configuration thread. */
    Ring<DataInput>& input();

    /** @return Ring for requests of the control thread. */
    Ring<ForwardedRequest>& controlRequests();

    /** @return Copies of the metrics, published once a second. */
    MetricsChannel& metrics();

private:
    struct Impl;
    std::unique_ptr<Impl> m_impl;
};

} // namespace hawthorncroft
