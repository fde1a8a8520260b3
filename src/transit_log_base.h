/**
 * @file transit_log_base.h
 * Structured log lines, one JSON object each. Writing never blocks: lines that the reader does not accept in time, and
 * lines beyond the rate limit of their event, are dropped and counted.
 */
#pragma once

#include "transit_effect_type.h"

#include <string>
#include <unordered_map>

namespace hawthorncroft {

/** Writes log lines to a file descriptor. Used by one thread. */
class TransitLog {
public:
    /**
     * @param descriptor Output; set to non-blocking mode, never closed.
     * @param part Role of the process, written to each line.
     * @param vm VM on which the process runs, written to each line.
     */
    TransitLog(int descriptor, std::string part, std::string vm);

    /** Writes a line, or drops and counts it. */
    void write(const WriteLog& line, TimePoint now);

    /** @return Lines dropped since the start. */
    std::uint64_t dropped() const { return m_dropped; }

private:
    struct Rate {
        TimePoint since;
        std::uint32_t written {};
        std::uint32_t suppressed {};
    };

    bool allow(const WriteLog& line, TimePoint now);
    void put(const WriteLog& line, TimePoint now);
    void flush();

    int m_descriptor;
    std::string m_part;
    std::string m_vm;
    std::string m_pending; ///< Unwritten rest of the last line.
    std::unordered_map<std::string_view, Rate> m_rates; ///< By event.
    std::uint64_t m_dropped {};
};

} // namespace hawthorncroft
