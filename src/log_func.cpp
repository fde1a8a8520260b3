#include "log_func.h"
#include "name_table_type.h"

#include <log4cplus/configurator.h>
#include <log4cplus/consoleappender.h>
#include <log4cplus/initializer.h>
#include <log4cplus/layout.h>
#include <log4cplus/logger.h>
#include <log4cplus/loggingmacros.h>

#include <array>
#include <memory>

namespace hawthorncroft {

namespace {

    constexpr NameTable<LogPart> partNames {
        "main",
        "data",
        "control",
        "config",
        "target",
        "metrics",
    };

    constexpr NameTable<LogLevel> levelNames {
        "debug",
        "info",
        "warning",
        "error",
        "off",
    };

    constexpr std::array<log4cplus::LogLevel, static_cast<std::size_t>(LogLevel::End)> libraryLevels {
        log4cplus::DEBUG_LOG_LEVEL,
        log4cplus::INFO_LOG_LEVEL,
        log4cplus::WARN_LOG_LEVEL,
        log4cplus::ERROR_LOG_LEVEL,
        log4cplus::OFF_LOG_LEVEL,
    };

    log4cplus::Logger loggerOf(LogPart part) { return log4cplus::Logger::getInstance(std::string(nameOf(part))); }

    log4cplus::LogLevel libraryLevelOf(const std::string& name)
    {
        for (std::size_t i = 0; i < levelNames.size(); ++i) {
            if (levelNames[i] == name)
                return libraryLevels[i];
        }
        return log4cplus::INFO_LOG_LEVEL;
    }

}

std::string_view nameOf(LogPart part) { return lookUpName(partNames, part); }

std::string_view nameOf(LogLevel level) { return lookUpName(levelNames, level); }

void startLogs(const std::map<std::string, std::string>& levels)
{
    static log4cplus::Initializer initializer;
    log4cplus::SharedAppenderPtr appender(new log4cplus::ConsoleAppender(true, true));
    appender->setLayout(std::make_unique<log4cplus::PatternLayout>("%D{%H:%M:%S.%q} %-5p [%c] %m%n"));
    log4cplus::Logger::getRoot().addAppender(appender);
    for (std::size_t i = 0; i < partNames.size(); ++i) {
        auto entry = levels.find(std::string(partNames[i]));
        loggerOf(static_cast<LogPart>(i)).setLogLevel(libraryLevelOf(entry == levels.end() ? "info" : entry->second));
    }
}

void log(LogPart part, LogLevel level, const std::string& text)
{
    auto logger = loggerOf(part);
    auto libraryLevel = libraryLevels[static_cast<std::size_t>(level)];
    if (logger.isEnabledFor(libraryLevel))
        logger.forcedLog(libraryLevel, text);
}

bool LogLimiter::allow(std::int64_t nowUs)
{
    constexpr std::int64_t intervalUs = 1000000;
    if (nowUs - m_lastUs < intervalUs)
        return false;
    m_lastUs = nowUs;
    return true;
}

} // namespace hawthorncroft
