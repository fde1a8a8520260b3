/**
 * @file target_thread.h
 * Target thread of an agent: speaks HTTP/2 to the target and reads its health.
 *
 * Answers of the target: 2xx is an answer; 503 and 429 say that it was shed, 504 that the deadline had passed, 421 and
 * (for a commit) 409 that it was refused, all without running; 499 that it was cancelled. Everything else may have run.
 */
#pragma once

#include "ring_type.h"
#include "target_type.h"

#include <memory>

namespace hawthorncroft {

/** The thread. Starts with start(), ends when destroyed. */
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

    /** Ends the thread and waits for it. Calls to the target that are under way are dropped. */
    void stop();

    /** @return Ring for the data thread's commands. */
    Ring<TargetCommand>& commands();

private:
    struct Impl;
    std::unique_ptr<Impl> m_impl;
};

} // namespace hawthorncroft
