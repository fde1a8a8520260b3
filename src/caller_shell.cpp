#include "caller_shell.h"

#include "codec_func.h"

#include <chrono>
#include <utility>

namespace hawthorncroft {

namespace asio = boost::asio;

namespace {

    CallerSettings withId(CallerSettings settings)
    {
        while (!settings.id)
            settings.id = CallerId(CallerShell::randomNumber());
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

TimePoint CallerShell::now()
{
    auto sinceStart = std::chrono::steady_clock::now().time_since_epoch();
    return { std::chrono::duration_cast<std::chrono::microseconds>(sinceStart).count() };
}

std::uint64_t CallerShell::randomNumber()
{
    std::random_device device;
    constexpr unsigned halfBits = 32;
    return (static_cast<std::uint64_t>(device()) << halfBits) | device();
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
    Started started = m_core.startRequest(now(), std::move(options), m_effects);
    carryOut();
    return started;
}

Started CallerShell::openFeed(FeedOptions options)
{
    Started started = m_core.openFeed(now(), std::move(options), m_effects);
    carryOut();
    return started;
}

Started CallerShell::startUpload(UploadOptions options)
{
    Started started = m_core.startUpload(now(), std::move(options), m_effects);
    carryOut();
    return started;
}

Started CallerShell::startQuery(const QueryOptions& options)
{
    Started started = m_core.startQuery(now(), options, m_effects);
    carryOut();
    return started;
}

bool CallerShell::cancel(FlowId flow)
{
    bool isOpen = m_core.cancel(now(), flow, m_effects);
    carryOut();
    return isOpen;
}

bool CallerShell::closeFlow(FlowId flow)
{
    bool isOpen = m_core.closeFlow(now(), flow, m_effects);
    carryOut();
    return isOpen;
}

void CallerShell::receive(std::span<const std::uint8_t> bytes)
{
    if (decode(bytes, m_received) != DecodeError::None)
        return;
    m_core.onPacket(now(), m_received, m_effects);
    carryOut();
}

void CallerShell::carryOut()
{
    // The handler may start flows, which appends to m_effects; the list in work is therefore taken out first.
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
    auto wake = m_core.nextWake();
    if (!wake) {
        m_timer.cancel();
        return;
    }
    m_timer.expires_at(std::chrono::steady_clock::time_point(std::chrono::microseconds(wake->us)));
    m_timer.async_wait([this](boost::system::error_code error) {
        if (error)
            return;
        m_core.onTick(now(), m_effects);
        carryOut();
    });
}

} // namespace hawthorncroft
