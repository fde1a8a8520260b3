/**
 * @file metrics_thread.h
 * Thread that formats metrics, so that the data thread only counts and publishes copies.
 */
#pragma once

#include "metrics_base.h"
#include "process_type.h"
#include "ring_type.h"

#include <memory>

namespace hawthorncroft {

/** The thread. Starts when constructed, ends with stop() or when destroyed. */
class MetricsThread {
public:
    /**
     * @param channel Copies that the data thread publishes; this thread is their only reader.
     * @param toControl Ring to the control thread for answers; this thread is its only producer.
     */
    MetricsThread(MetricsChannel& channel, Ring<ControlInput>& toControl);
    ~MetricsThread();
    MetricsThread(const MetricsThread&) = delete;
    MetricsThread& operator=(const MetricsThread&) = delete;

    /** Ends the thread and waits for it. Threads that push into each other's rings are all stopped before any is
     * destroyed. */
    void stop();

    /** @return Ring for the control thread's questions. */
    Ring<ForwardedRequest>& controlRequests();

private:
    struct Impl;
    std::unique_ptr<Impl> m_impl;
};

} // namespace hawthorncroft
