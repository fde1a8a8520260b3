#include "control_thread.h"

#include "control_base.h"
#include "settings_func.h"

#include <boost/asio/executor_work_guard.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/post.hpp>

#include <thread>
#include <unordered_map>

namespace hawthorncroft {

namespace asio = boost::asio;

namespace {

    constexpr std::size_t maxPendingRequests = 1024; ///< Forwarded requests without a reply.

}

struct ControlThread::Impl {
    explicit Impl(const ProcessSettings& processSettings)
        : settings(processSettings)
        , keyring(keyringOf(processSettings))
        , server(context, keyring)
        , fromConfig(ringCapacity, [this] { asio::post(context, [this] { drain(fromConfig); }); })
        , fromMetrics(ringCapacity, [this] { asio::post(context, [this] { drain(fromMetrics); }); })
        , fromData(ringCapacity, [this] { asio::post(context, [this] { drain(fromData); }); })
    {
    }

    void serve(const std::string& path, Ring<ForwardedRequest>& owner)
    {
        server.addDeferred(path, [this, &owner](const ControlRequest& request, ControlReplier reply) {
            forward(owner, request, std::move(reply));
        });
    }

    void forward(Ring<ForwardedRequest>& owner, const ControlRequest& request, ControlReplier reply)
    {
        std::uint64_t id = ++lastId;
        bool isForwarded = pending.size() < maxPendingRequests
            && owner.push({ .id = id, .path = request.path, .argument = request.queryText });
        if (!isForwarded) {
            reply({ .status = 503, .body = {} });
            return;
        }
        pending.emplace(id, std::move(reply));
    }

    void drain(Ring<ControlInput>& ring)
    {
        ring.drain([this](ControlInput& message) { std::visit([this](auto& m) { handle(m); }, message); });
    }

    void handle(ForwardedReply& answer)
    {
        auto entry = pending.find(answer.id);
        if (entry == pending.end())
            return;
        ControlReplier reply = std::move(entry->second);
        pending.erase(entry);
        reply({ .status = answer.status, .body = std::move(answer.body) });
    }

    void handle(KeysChanged& keys)
    {
        keyring.setAccepted(keys.accepted);
        keyring.setSigning(keys.signing);
    }

    ProcessSettings settings;
    asio::io_context context { 1 };
    asio::executor_work_guard<asio::io_context::executor_type> work { context.get_executor() };
    Keyring keyring;
    ControlServer server;
    Ring<ControlInput> fromConfig;
    Ring<ControlInput> fromMetrics;
    Ring<ControlInput> fromData;
    std::unordered_map<std::uint64_t, ControlReplier> pending; ///< Forwarded requests without a reply, by their id.
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

void ControlThread::start(
    Ring<ForwardedRequest>& toConfig, Ring<ForwardedRequest>& toMetrics, Ring<ForwardedRequest>& toData)
{
    m_impl->serve("/config", toConfig);
    m_impl->serve("/metrics", toMetrics);
    for (const char* path : { "/status", "/names", "/explain", "/burn" })
        m_impl->serve(path, toData);
    m_impl->thread = std::thread([this] { m_impl->context.run(); });
}

Ring<ControlInput>& ControlThread::fromConfig() { return m_impl->fromConfig; }

Ring<ControlInput>& ControlThread::fromMetrics() { return m_impl->fromMetrics; }

Ring<ControlInput>& ControlThread::fromData() { return m_impl->fromData; }

} // namespace hawthorncroft
