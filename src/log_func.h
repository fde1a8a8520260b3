/**
 * @file log_func.h
 * Logging with log4cplus: one logger for each part of a program, with the part's name as a fixed prefix.
 */
#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <string_view>

namespace hawthorncroft {

/** Part of a program with a logger of its own. */
enum class LogPart : std::uint8_t {
    Main,
    Data,
    Control,
    Config,
    Target,
    Metrics,
    End,
};

/** Severity of a log line. */
enum class LogLevel : std::uint8_t {
    Debug,
    Info,
    Warning,
    Error,
    Off,
    End,
};

std::string_view nameOf(LogPart part);
std::string_view nameOf(LogLevel level);

/**
 * Sets up logging to standard error.
 * @param levels Lowest level that is written, by name of the part; parts that are absent use Info.
 */
void startLogs(const std::map<std::string, std::string>& levels);

/**
 * Writes one log line.
 * @param part Part of the program.
 * @param level Severity.
 * @param text A short sentence without a line break.
 */
void log(LogPart part, LogLevel level, const std::string& text);

/**
 * Limits log lines to one per second. Each place in the code that logs has a limiter of its own.
 */
class LogLimiter {
public:
    /**
     * @param nowUs Monotonic time in microseconds.
     * @return Whether a line may be written now.
     */
    bool allow(std::int64_t nowUs);

private:
    std::int64_t m_lastUs { -1000000 };
};

} // namespace hawthorncroft
