#include "demo_process.h"

#include <algorithm>
#include <cerrno>
#include <chrono>
#include <csignal>
#include <cstring>
#include <filesystem>
#include <system_error>
#include <thread>

#include <fcntl.h>
#include <spawn.h>
#include <sys/wait.h>
#include <unistd.h>

namespace hawthorncroft {

namespace {

    /** Redirects standard output and standard error of a child process to a file. */
    class OutputToFile {
    public:
        explicit OutputToFile(const std::string& file)
        {
            constexpr int mode = 0644;
            posix_spawn_file_actions_init(&m_actions);
            posix_spawn_file_actions_addopen(
                &m_actions, STDOUT_FILENO, file.c_str(), O_WRONLY | O_CREAT | O_TRUNC, mode);
            posix_spawn_file_actions_adddup2(&m_actions, STDOUT_FILENO, STDERR_FILENO);
        }
        ~OutputToFile() { posix_spawn_file_actions_destroy(&m_actions); }
        OutputToFile(const OutputToFile&) = delete;
        OutputToFile& operator=(const OutputToFile&) = delete;

        const posix_spawn_file_actions_t* get() const { return &m_actions; }

    private:
        posix_spawn_file_actions_t m_actions {};
    };

}

DemoProcesses::DemoProcesses(std::string programs, std::string logs)
    : m_programs(std::move(programs))
    , m_logs(std::move(logs))
{
    std::error_code ignored;
    std::filesystem::create_directories(m_logs, ignored);
}

DemoProcesses::~DemoProcesses() { endAll(); }

std::string DemoProcesses::start(
    const std::string& name, const std::string& program, std::vector<std::string> arguments)
{
    std::string path = m_programs + "/" + program;
    OutputToFile output(m_logs + "/" + name + ".log");
    std::vector<char*> argv { path.data() };
    for (auto& argument : arguments)
        argv.push_back(argument.data());
    argv.push_back(nullptr);
    pid_t id = 0;
    int error = posix_spawn(&id, path.c_str(), output.get(), nullptr, argv.data(), environ);
    if (error)
        return path + ": " + std::generic_category().message(error);
    m_running[name] = id;
    std::erase(m_signalled, name);
    return "";
}

void DemoProcesses::signal(const std::string& name, int number)
{
    reap();
    auto found = m_running.find(name);
    if (found == m_running.end())
        return;
    m_signalled.push_back(name);
    kill(found->second, number);
}

void DemoProcesses::reap()
{
    std::erase_if(m_running, [this](const auto& entry) {
        const auto& [name, id] = entry;
        bool hasEnded = waitpid(id, nullptr, WNOHANG) != 0;
        bool wasSignalled = std::find(m_signalled.begin(), m_signalled.end(), name) != m_signalled.end();
        if (hasEnded && !wasSignalled)
            m_unexpected.push_back(name);
        return hasEnded;
    });
}

std::vector<std::string> DemoProcesses::unexpectedEnds()
{
    reap();
    return m_unexpected;
}

void DemoProcesses::endAll()
{
    using Clock = std::chrono::steady_clock;
    constexpr std::chrono::milliseconds step { 20 };
    constexpr std::chrono::seconds terminationTimeout { 4 };
    reap();
    for (const auto& [name, id] : m_running) {
        m_signalled.push_back(name);
        kill(id, SIGTERM);
    }
    for (auto end = Clock::now() + terminationTimeout; !m_running.empty() && Clock::now() < end; reap())
        std::this_thread::sleep_for(step);
    for (const auto& [name, id] : m_running)
        kill(id, SIGKILL);
    for (const auto& [name, id] : m_running)
        waitpid(id, nullptr, 0);
    m_running.clear();
}

} // namespace hawthorncroft
