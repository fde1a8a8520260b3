#include "caller_shell.h"

#include "clock_func.h"
#include "codec_func.h"

#include <chrono>
#include <utility>

namespace hawthorncroft {

namespace asio = boost::asio;

namespace {

    CallerSettings withId(CallerSettings settings)
    {
        if (!settings.id)
            settings.id = CallerId(randomNumber());
        settings.seed = mix64(settings.seed, settings.id.value);
        return settings;
    }

}

CallerShell::CallerShell(
    asio::io_context& context, CallerSettings settings, std::vector<Endpoint> balancers, Handler handler)
    : m_id((settings = withId(settings)).id)
    , m_core(settings)
    , m_socket(context)
    , m_timer(context)
    , m_balancers(std::move(balancers))
    , m_handler(std::move(handler))
    , m_random(static_cast<std::uint32_t>(settings.seed))
{
}

std::string CallerShell::open(Endpoint local)
{
    std::string error = m_socket.open(local);
    if (error.empty())
        m_socket.start([this](Endpoint, std::span<const std::uint8_t> bytes) { receive(bytes); });
    return error;
}

Started CallerShell::startRequest(RequestOptions options)
{
    Started started = m_core.startRequest(monotonicNow(), std::move(options), m_effects);
    applyEffects();
    return started;
}

Started CallerShell::openFeed(FeedOptions options)
{
    Started started = m_core.openFeed(monotonicNow(), std::move(options), m_effects);
    applyEffects();
    return started;
}

Started CallerShell::startUpload(UploadOptions options)
{
    Started started = m_core.startUpload(monotonicNow(), std::move(options), m_effects);
    applyEffects();
    return started;
}

Started CallerShell::startQuery(const QueryOptions& options)
{
    Started started = m_core.startQuery(monotonicNow(), options, m_effects);
    applyEffects();
    return started;
}

bool CallerShell::cancel(FlowId flow)
{
    bool isOpen = m_core.cancel(monotonicNow(), flow, m_effects);
    applyEffects();
    return isOpen;
}

bool CallerShell::closeFlow(FlowId flow)
{
    bool isOpen = m_core.closeFlow(monotonicNow(), flow, m_effects);
    applyEffects();
    return isOpen;
}

void CallerShell::receive(std::span<const std::uint8_t> bytes)
{
    if (decode(bytes, m_received) != DecodeError::None)
        return;
    m_core.onPacket(monotonicNow(), m_received, m_effects);
    applyEffects();
}

void CallerShell::applyEffects()
{
    // The handler may start flows, which appends to m_effects. The list is therefore moved out before iterating.
    CallerEffects effects = std::exchange(m_effects, {});
    for (const auto& effect : effects) {
        if (const auto* sent = std::get_if<SendToFabric>(&effect))
            send(sent->packet);
        else
            m_handler(effect);
    }
    schedule();
}

void CallerShell::send(const Packet& packet)
{
    encode(packet, m_bytes);
    m_socket.send(m_balancers[m_random() % m_balancers.size()], m_bytes);
}

void CallerShell::schedule()
{
    auto nextTimer = m_core.nextTimer();
    if (!nextTimer) {
        m_timer.cancel();
        return;
    }
    // Relative time, because the clocks of the core and the timer may have different epochs.
    m_timer.expires_after(std::chrono::microseconds((*nextTimer - monotonicNow()).us));
    m_timer.async_wait([this](boost::system::error_code error) {
        if (error)
            return;
        m_core.onTick(monotonicNow(), m_effects);
        applyEffects();
    });
}

} // namespace hawthorncroft
