#include "control_thread.h"

#include "http2_base.h"

#include <boost/asio/executor_work_guard.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/post.hpp>

#include <thread>
#include <unordered_map>

namespace hawthorncroft {

namespace asio = boost::asio;

namespace {

    constexpr std::size_t maxPending = 1024; ///< Questions that wait for an answer.

}

struct ControlThread::Impl {
    explicit Impl(const ProcessSettings& processSettings)
        : settings(processSettings)
        , server(context,
              [this](
                  const Http2Request& request, Http2Responder responder) { onRequest(request, std::move(responder)); })
        , fromConfig(ringCapacity, [this] { asio::post(context, [this] { drain(fromConfig); }); })
        , fromData(ringCapacity, [this] { asio::post(context, [this] { drain(fromData); }); })
    {
    }

    void onRequest(const Http2Request& request, Http2Responder responder)
    {
        auto mark = request.path.find('?');
        std::string path = request.path.substr(0, mark);
        std::string argument = mark == std::string::npos ? "" : request.path.substr(mark + 1);
        if (request.method != "GET" || pending.size() >= maxPending) {
            responder.respond(request.method == "GET" ? 503 : 405);
            return;
        }
        std::uint64_t id = ++lastId;
        pending.emplace(id, std::move(responder));
        Ring<ControlQuestion>& owner = path == "/config" ? *toConfig : *toData;
        if (!owner.push({ .id = id, .path = path, .argument = argument }))
            answer({ .id = id, .status = 503 });
    }

    void drain(Ring<ControlAnswer>& ring)
    {
        ring.drain([this](ControlAnswer& a) { answer(a); });
    }

    void answer(const ControlAnswer& a)
    {
        auto entry = pending.find(a.id);
        if (entry == pending.end())
            return;
        entry->second.respond(a.status, a.body, { { "content-type", "application/json" } });
        pending.erase(entry);
    }

    ProcessSettings settings;
    asio::io_context context { 1 };
    asio::executor_work_guard<asio::io_context::executor_type> work { context.get_executor() };
    Http2Server server;
    Ring<ControlAnswer> fromConfig;
    Ring<ControlAnswer> fromData;
    Ring<ControlQuestion>* toConfig {};
    Ring<ControlQuestion>* toData {};
    std::unordered_map<std::uint64_t, Http2Responder> pending; ///< Requests without an answer, by question.
    std::uint64_t lastId {};
    std::thread thread;
};

ControlThread::ControlThread(const ProcessSettings& settings)
    : m_impl(std::make_unique<Impl>(settings))
{
}

ControlThread::~ControlThread() { stop(); }

void ControlThread::stop()
{
    if (!m_impl->thread.joinable())
        return;
    asio::post(m_impl->context, [this] { m_impl->context.stop(); });
    m_impl->thread.join();
}

ConfigFault ControlThread::open()
{
    std::string error;
    if (m_impl->server.listen(m_impl->settings.control, error))
        return {};
    return { .path = "control",
        .value = toString(m_impl->settings.control) + " (" + error + ")",
        .allowed = "a free address of this VM" };
}

void ControlThread::start(Ring<ControlQuestion>& toConfig, Ring<ControlQuestion>& toData)
{
    m_impl->toConfig = &toConfig;
    m_impl->toData = &toData;
    m_impl->thread = std::thread([this] { m_impl->context.run(); });
}

Ring<ControlAnswer>& ControlThread::fromConfig() { return m_impl->fromConfig; }

Ring<ControlAnswer>& ControlThread::fromData() { return m_impl->fromData; }

} // namespace hawthorncroft
