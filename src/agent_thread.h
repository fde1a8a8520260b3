/**
 * @file agent_thread.h
 * Data thread of an agent: datagrams of balancers and agents, and the agent core. It owns the target thread.
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

/** The thread. The socket is bound by open() before it starts. */
class AgentThread {
public:
    /**
     * @param settings Settings of the process.
     * @param node Random number of this process.
     */
    AgentThread(const ProcessSettings& settings, NodeId node);
    ~AgentThread();
    AgentThread(const AgentThread&) = delete;
    AgentThread& operator=(const AgentThread&) = delete;

    /** Ends the thread and waits for it. Threads that push into each other's rings are all stopped before any is
     * destroyed. */
    void stop();

    /**
     * Binds the socket.
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
     * Begins a graceful shutdown: no new opens; running requests end and their answers are delivered. Feeds and uploads
     * are left to the next agent process, which adopts them.
     * @param done Called on the data thread when nothing is left to wait for or the longest shutdown is over.
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
