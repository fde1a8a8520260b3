/**
 * @file transit_log_base.h
 * Structured log lines on standard output. A line is one JSON object. Writing never blocks: what the reader does not
 * take in time, and lines beyond the limit of their kind, are counted and left out.
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
     * @param descriptor Set to non-blocking; not closed.
     * @param part Name of the part of the system, in each line.
     * @param vm VM on which the process runs, in each line.
     */
    TransitLog(int descriptor, std::string part, std::string vm);

    /** Writes a line, or counts it as left out. */
    void write(const WriteLog& line, TimePoint now);

    /** @return Lines left out since the start. */
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
    std::string m_pending; ///< Rest of a line that the reader took in part.
    std::unordered_map<std::string_view, Rate> m_rates; ///< By event.
    std::uint64_t m_dropped {};
};

} // namespace hawthorncroft
