/**
 * @file config_thread.h
 * Thread that keeps the configuration up to date: gossip, deltas from peers, and reads of the platform. It owns the
 * configuration replica and hands accepted documents to the data thread.
 */
#pragma once

#include "process_type.h"
#include "ring_type.h"
#include "settings_type.h"

#include <functional>
#include <memory>

namespace hawthorncroft {

/** What the configuration thread needs to know. */
struct ConfigThreadOptions {
    ProcessSettings settings;
    NodeId node; ///< Random number of this process.
    std::uint64_t randomSeed {}; ///< Seeds the choice of peers.
};

/** The thread. Starts when constructed, ends when destroyed. */
class ConfigThread {
public:
    /**
     * @param options Settings of the process.
     * @param toData Ring to the data thread; this thread is its only producer.
     * @param toControl Ring to the control thread for answers and keys; this thread is its only producer.
     */
    ConfigThread(const ConfigThreadOptions& options, Ring<DataInput>& toData, Ring<ControlInput>& toControl);
    ~ConfigThread();
    ConfigThread(const ConfigThread&) = delete;
    ConfigThread& operator=(const ConfigThread&) = delete;

    /** Ends the thread and waits for it. Threads that push into each other's rings are all stopped before any is
     * destroyed. */
    void stop();

    /** @return Ring for the data thread's messages. */
    Ring<ConfigInput>& input();

    /** @return Ring for the control thread's questions. */
    Ring<ForwardedRequest>& controlRequests();

private:
    struct Impl;
    std::unique_ptr<Impl> m_impl;
};

} // namespace hawthorncroft
