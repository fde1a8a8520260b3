/**
 * @file control_thread.h
 * Thread that answers questions on the control port. Each path is answered by the thread that owns the state.
 */
#pragma once

#include "process_type.h"
#include "ring_type.h"
#include "settings_type.h"

#include <memory>
#include <string>

namespace hawthorncroft {

/** The thread. Starts with start(), ends when destroyed. */
class ControlThread {
public:
    explicit ControlThread(const ProcessSettings& settings);
    ~ControlThread();
    ControlThread(const ControlThread&) = delete;
    ControlThread& operator=(const ControlThread&) = delete;

    /** Ends the thread and waits for it. Threads that push into each other's rings are all stopped before any is
     * destroyed. */
    void stop();

    /**
     * Binds the control port.
     * @return What is wrong with which setting; empty path on success.
     */
    ConfigFault open();

    /**
     * Starts the thread.
     * @param toConfig Ring for /config; this thread is its only producer.
     * @param toMetrics Ring for /metrics; this thread is its only producer.
     * @param toData Ring for all other paths; this thread is its only producer.
     */
    void start(Ring<ForwardedRequest>& toConfig, Ring<ForwardedRequest>& toMetrics, Ring<ForwardedRequest>& toData);

    /** @return Ring for answers and keys of the configuration thread. */
    Ring<ControlInput>& fromConfig();

    /** @return Ring for answers of the metrics thread. */
    Ring<ControlInput>& fromMetrics();

    /** @return Ring for answers of the data thread. */
    Ring<ControlInput>& fromData();

private:
    struct Impl;
    std::unique_ptr<Impl> m_impl;
};

} // namespace hawthorncroft
