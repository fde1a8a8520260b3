#include "metrics_thread.h"

#include <boost/asio/executor_work_guard.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/post.hpp>

#include <thread>

namespace hawthorncroft {

namespace asio = boost::asio;

struct MetricsThread::Impl {
    Impl(MetricsChannel& metricsChannel, Ring<ControlInput>& toControlRing)
        : channel(metricsChannel)
        , toControl(toControlRing)
        , controlRequests(ringCapacity, [this] { asio::post(context, [this] { drainControlRequests(); }); })
    {
    }

    void drainControlRequests()
    {
        controlRequests.drain([this](ForwardedRequest& request) {
            const Metrics& metrics = channel.latest();
            bool wantsText = request.argument == "format=text";
            toControl.push(ForwardedReply { .id = request.id, .body = wantsText ? metrics.text() : metrics.json() });
        });
    }

    MetricsChannel& channel;
    Ring<ControlInput>& toControl;
    asio::io_context context { 1 };
    asio::executor_work_guard<asio::io_context::executor_type> work { context.get_executor() };
    Ring<ForwardedRequest> controlRequests;
    std::thread thread;
};

MetricsThread::MetricsThread(MetricsChannel& channel, Ring<ControlInput>& toControl)
    : m_impl(std::make_unique<Impl>(channel, toControl))
{
    m_impl->thread = std::thread([this] { m_impl->context.run(); });
}

MetricsThread::~MetricsThread() { stop(); }

void MetricsThread::stop()
{
    if (!m_impl->thread.joinable())
        return;
    asio::post(m_impl->context, [this] { m_impl->context.stop(); });
    m_impl->thread.join();
}

Ring<ForwardedRequest>& MetricsThread::controlRequests() { return m_impl->controlRequests; }

} // namespace hawthorncroft
