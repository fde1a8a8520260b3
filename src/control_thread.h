/**
 * @file control_thread.h
 * Thread that serves the control port. It forwards each request to the thread that owns the requested state.
 */
#pragma once

#include "process_type.h"
#include "ring_type.h"
#include "settings_type.h"

#include <memory>
#include <string>

namespace hawthorncroft {

/** Thread of the control port. Runs from start() until stop() or destruction. */
class ControlThread {
public:
    explicit ControlThread(const ProcessSettings& settings);
    ~ControlThread();
    ControlThread(const ControlThread&) = delete;
    ControlThread& operator=(const ControlThread&) = delete;

    /**
     * Stops the thread and joins it. Threads that push into each other's rings must all be stopped before any of them
     * is destroyed.
     */
    void stop();

    /**
     * Listens on the control port.
     * @return The invalid setting and the reason; an empty path on success.
     */
    ConfigFault open();

    /**
     * Starts the thread.
     * @param toConfig Ring for /config; this thread is its only producer.
     * @param toMetrics Ring for /metrics; this thread is its only producer.
     * @param toData Ring for all other paths; this thread is its only producer.
     */
    void start(Ring<ForwardedRequest>& toConfig, Ring<ForwardedRequest>& toMetrics, Ring<ForwardedRequest>& toData);

    /** @return Ring for replies and key changes from the configuration thread. */
    Ring<ControlInput>& fromConfig();

    /** @return Ring for replies from the metrics thread. */
    Ring<ControlInput>& fromMetrics();

    /** @return Ring for replies from the data thread. */
    Ring<ControlInput>& fromData();

private:
    struct Impl;
    std::unique_ptr<Impl> m_impl;
};

} // namespace hawthorncroft
