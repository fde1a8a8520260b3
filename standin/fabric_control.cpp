#include "fabric_base.h"

#include <algorithm>
#include <array>
#include <sstream>

namespace hawthorncroft {

namespace {

    constexpr std::uint32_t maxPerMille = 1000;
    constexpr const char* perMilleFault = "a number from 0 to 1000 is expected";
    constexpr const char* unknownBalancer = "no such balancer";

    std::string setPerMille(std::uint32_t& setting, std::uint32_t perMille)
    {
        if (perMille > maxPerMille)
            return perMilleFault;
        setting = perMille;
        return "ok";
    }

}

/** A command of the control port. */
struct FabricCore::Command {
    std::string_view name;
    bool takesBalancer {}; ///< The first argument is the endpoint of a balancer.
    bool takesNumber {}; ///< The last argument is a number.
    bool isNumberOptional {}; ///< The number may be omitted; it is then zero.
    Change change;
};

std::string FabricCore::command(const std::string& line)
{
    static constexpr std::array<Command, 9> commands { {
        { "add", true, true, true, &FabricCore::add },
        { "remove", true, false, false, &FabricCore::remove },
        { "delay", true, true, false, &FabricCore::setDelay },
        { "cut", true, false, false, &FabricCore::cut },
        { "join", true, false, false, &FabricCore::join },
        { "drop", false, true, false, &FabricCore::setDrop },
        { "duplicate", false, true, false, &FabricCore::setDuplicate },
        { "reorder", false, true, false, &FabricCore::setReorder },
        { "status", false, false, false, &FabricCore::status },
    } };
    std::istringstream words(line);
    std::string name;
    words >> name;
    const auto* found
        = std::find_if(commands.begin(), commands.end(), [&](const Command& known) { return known.name == name; });
    if (found == commands.end())
        return "unknown command " + name;
    Endpoint balancer;
    std::string address;
    if (found->takesBalancer && (!(words >> address) || !parseEndpoint(address, balancer)))
        return "an IPv4 address with a port is expected";
    std::uint32_t number = 0;
    bool hasNumber = found->takesNumber && (words >> number);
    if (found->takesNumber && !hasNumber && !(found->isNumberOptional && words.eof()))
        return "a whole number is expected";
    return (this->*found->change)(balancer, number);
}

std::string FabricCore::add(Endpoint balancer, std::uint32_t delayUs)
{
    if (find(balancer))
        return "the balancer is known";
    m_settings.paths.push_back({ .balancer = balancer, .delay = microseconds(delayUs) });
    return "ok";
}

std::string FabricCore::remove(Endpoint balancer, std::uint32_t)
{
    auto isBalancer = [&](const FabricPath& path) { return path.balancer == balancer; };
    return std::erase_if(m_settings.paths, isBalancer) ? "ok" : unknownBalancer;
}

std::string FabricCore::setDelay(Endpoint balancer, std::uint32_t delayUs)
{
    FabricPath* path = find(balancer);
    if (!path)
        return unknownBalancer;
    path->delay = microseconds(delayUs);
    return "ok";
}

std::string FabricCore::cut(Endpoint balancer, std::uint32_t)
{
    FabricPath* path = find(balancer);
    if (!path)
        return unknownBalancer;
    path->isCut = true;
    return "ok";
}

std::string FabricCore::join(Endpoint balancer, std::uint32_t)
{
    FabricPath* path = find(balancer);
    if (!path)
        return unknownBalancer;
    path->isCut = false;
    return "ok";
}

std::string FabricCore::setDrop(Endpoint, std::uint32_t perMille)
{
    return setPerMille(m_settings.dropPerMille, perMille);
}

std::string FabricCore::setDuplicate(Endpoint, std::uint32_t perMille)
{
    return setPerMille(m_settings.duplicatePerMille, perMille);
}

std::string FabricCore::setReorder(Endpoint, std::uint32_t perMille)
{
    return setPerMille(m_settings.reorderPerMille, perMille);
}

std::string FabricCore::status(Endpoint, std::uint32_t)
{
    std::ostringstream text;
    text << "sessions " << m_sessions.size() << " balancers " << m_settings.paths.size() << " to-balancers "
         << m_counters.toBalancers << " to-callers " << m_counters.toCallers << " dropped " << m_counters.dropped
         << " duplicated " << m_counters.duplicated << " reordered " << m_counters.reordered << " cut "
         << m_counters.cut << " no-path " << m_counters.noPath << " overflow " << m_counters.overflow;
    return text.str();
}

} // namespace hawthorncroft
