#include "balancer_report.h"

#include <boost/json.hpp>

namespace hawthorncroft {

namespace json = boost::json;

namespace {

    constexpr std::size_t maxNames = 1000;

}

void BalancerReport::noteUnknownName(const std::string& name, std::uint64_t)
{
    if (m_names.size() < maxNames || m_names.contains(name))
        ++m_names[name];
}

void BalancerReport::noteInForce(const ConfigView& view, std::uint64_t second)
{
    if (view.completeThrough() == m_inForce)
        return;
    m_inForce = view.completeThrough();
    m_inForceSince = second;
}

ControlAnswer BalancerReport::answer(
    const ControlQuestion& question, const BalancerCore& core, TimePoint, std::uint64_t) const
{
    json::object body;
    if (question.path == "/names") {
        for (const auto& [name, count] : m_names)
            body[name] = count;
    } else if (question.path == "/status") {
        body["role"] = "balancer";
        body["serving"] = core.isServing();
        body["revision"] = m_inForce.value;
        body["since"] = m_inForceSince;
        for (std::size_t i = 0; i < core.counters().size(); ++i)
            body[std::string(nameOf(static_cast<BalancerCounter>(i)))] = core.counters()[i];
    } else {
        return { .id = question.id, .status = 404, .body = "{}" };
    }
    return { .id = question.id, .body = json::serialize(body) };
}

} // namespace hawthorncroft
