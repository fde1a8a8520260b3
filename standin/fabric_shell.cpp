#include "fabric_shell.h"

#include "clock_func.h"

#include <chrono>
#include <iostream>

namespace hawthorncroft {

FabricShell::FabricShell(boost::asio::io_context& context, FabricSettings settings)
    : m_context(context)
    , m_core(std::move(settings))
    , m_front(context)
    , m_control(context)
    , m_timer(context)
{
}

std::string FabricShell::open(Endpoint front, Endpoint control)
{
    std::string error = m_front.open(front);
    if (error.empty())
        error = m_control.open(control);
    if (!error.empty())
        return error;
    m_front.start([this](Endpoint from, std::span<const std::uint8_t> bytes) {
        m_core.onCallerDatagram(monotonicNow(), from, bytes, m_effects);
        applyEffects();
    });
    m_control.start([this](Endpoint from, std::span<const std::uint8_t> bytes) { onCommand(from, bytes); });
    return {};
}

void FabricShell::onCommand(Endpoint from, std::span<const std::uint8_t> bytes)
{
    std::string reply = m_core.command({ bytes.begin(), bytes.end() });
    m_control.send(from, { reinterpret_cast<const std::uint8_t*>(reply.data()), reply.size() });
}

void FabricShell::openSession(SessionId session)
{
    auto socket = std::make_unique<UdpSocket>(m_context);
    constexpr std::uint32_t loopback = 0x7f000001;
    std::string error = socket->open({ loopback, 0 });
    if (!error.empty()) {
        std::cerr << "fabric: cannot open a socket for a caller: " << error << '\n';
        return;
    }
    socket->start([this, session](Endpoint from, std::span<const std::uint8_t> bytes) {
        m_core.onBalancerDatagram(monotonicNow(), session, from, bytes);
        schedule();
    });
    m_sessions[session] = std::move(socket);
}

void FabricShell::applyEffects()
{
    for (const auto& effect : m_effects) {
        if (const auto* opened = std::get_if<OpenSession>(&effect)) {
            openSession(opened->session);
        } else if (const auto* closed = std::get_if<CloseSession>(&effect)) {
            m_sessions.erase(closed->session);
        } else if (const auto* back = std::get_if<SendToCaller>(&effect)) {
            m_front.send(back->to, back->bytes);
        } else if (const auto* sent = std::get_if<SendToBalancer>(&effect)) {
            auto session = m_sessions.find(sent->session);
            if (session != m_sessions.end())
                session->second->send(sent->to, sent->bytes);
        }
    }
    m_effects.clear();
    schedule();
}

void FabricShell::schedule()
{
    auto nextTimer = m_core.nextTimer();
    if (!nextTimer || (m_scheduled && *m_scheduled <= *nextTimer))
        return;
    m_scheduled = nextTimer;
    // Use a relative time, because the clocks of the core and of the timer may have different epochs.
    m_timer.expires_after(std::chrono::microseconds((*nextTimer - monotonicNow()).us));
    m_timer.async_wait([this](boost::system::error_code error) {
        if (error)
            return;
        m_scheduled.reset();
        m_core.onTick(monotonicNow(), m_effects);
        applyEffects();
    });
}

} // namespace hawthorncroft
