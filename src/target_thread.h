/**
 * @file target_thread.h
 * Target thread of an agent: communicates with the target over HTTP/2 and checks its health.
 *
 * HTTP status codes of the target: 2xx is an answer. 429 and 503 mean that it shed the request, 504 that the deadline
 * had passed, 421 and (for a commit) 409 that it refused the request; in all of these cases the request did not run.
 * 499 means that it cancelled the request. After any other status the request may have run.
 */
#pragma once

#include "ring_type.h"
#include "target_type.h"

#include <memory>

namespace hawthorncroft {

/** Thread for the communication with one target. Runs from start() to stop() or destruction. */
class TargetThread {
public:
    /** @param target HTTP/2 endpoint of the target. */
    explicit TargetThread(Endpoint target);
    ~TargetThread();
    TargetThread(const TargetThread&) = delete;
    TargetThread& operator=(const TargetThread&) = delete;

    /**
     * Starts the thread.
     * @param toData Ring to the data thread; this thread is its only producer.
     */
    void start(Ring<TargetReport>& toData);

    /** Stops the thread and waits for its end. HTTP calls in progress are abandoned. */
    void stop();

    /** @return Ring for commands; the data thread is its producer. */
    Ring<TargetCommand>& commands();

private:
    struct Impl;
    std::unique_ptr<Impl> m_impl;
};

} // namespace hawthorncroft
