#include "transit_log_base.h"

#include "table/transit_limits.h"

#include <boost/json.hpp>
#include <fcntl.h>
#include <unistd.h>

namespace hawthorncroft {

TransitLog::TransitLog(int descriptor, std::string part, std::string vm)
    : m_descriptor(descriptor)
    , m_part(std::move(part))
    , m_vm(std::move(vm))
{
    int flags = fcntl(descriptor, F_GETFL);
    if (flags >= 0)
        fcntl(descriptor, F_SETFL, flags | O_NONBLOCK);
}

void TransitLog::write(const WriteLog& line, TimePoint now)
{
    if (allow(line, now))
        put(line, now);
    else
        ++m_dropped;
}

bool TransitLog::allow(const WriteLog& line, TimePoint now)
{
    Rate& rate = m_rates[line.event];
    if (now - rate.since >= seconds(1)) {
        std::uint32_t suppressed = rate.suppressed;
        rate = { .since = now };
        if (suppressed)
            put({ "lines_left_out",
                    { { "of", std::string(line.event) }, { "count", static_cast<std::int64_t>(suppressed) } } },
                now);
    }
    if (rate.written >= maxLogLinesPerSecond) {
        ++rate.suppressed;
        return false;
    }
    ++rate.written;
    return true;
}

void TransitLog::put(const WriteLog& line, TimePoint now)
{
    flush();
    if (!m_pending.empty()) {
        ++m_dropped; // The reader is behind, and lines are not queued.
        return;
    }
    boost::json::object object;
    object["t_us"] = now.us;
    object["part"] = m_part;
    object["vm"] = m_vm;
    object["event"] = std::string(line.event);
    for (const auto& field : line.fields)
        std::visit([&](const auto& value) { object[field.name] = value; }, field.value);
    m_pending = boost::json::serialize(object);
    m_pending += '\n';
    flush();
}

void TransitLog::flush()
{
    if (m_pending.empty())
        return;
    ssize_t written = ::write(m_descriptor, m_pending.data(), m_pending.size());
    if (written > 0)
        m_pending.erase(0, static_cast<std::size_t>(written));
    else if (written < 0 && errno != EAGAIN && errno != EINTR)
        m_pending.clear(); // The output is broken, for example because the reader has closed it.
}

} // namespace hawthorncroft
