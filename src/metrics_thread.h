/**
 * @file metrics_thread.h
 * Thread that formats metrics, so that the data thread only has to count and to publish copies.
 */
#pragma once

#include "metrics_base.h"
#include "process_type.h"
#include "ring_type.h"

#include <memory>

namespace hawthorncroft {

/** Runs the thread from construction until stop() or destruction. */
class MetricsThread {
public:
    /**
     * @param channel Channel on which the data thread publishes copies; this thread is its only reader.
     * @param toControl Ring for replies to the control thread; this thread is its only producer.
     */
    MetricsThread(MetricsChannel& channel, Ring<ControlInput>& toControl);
    ~MetricsThread();
    MetricsThread(const MetricsThread&) = delete;
    MetricsThread& operator=(const MetricsThread&) = delete;

    /** Stops and joins the thread. Threads that push into each other's rings must all be stopped before any of them
     * is destroyed. */
    void stop();

    /** @return Ring for requests that the control thread forwards. */
    Ring<ForwardedRequest>& controlRequests();

private:
    struct Impl;
    std::unique_ptr<Impl> m_impl;
};

} // namespace hawthorncroft
