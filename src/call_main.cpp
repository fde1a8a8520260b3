/**
 * @file call_main.cpp
 * hawthorncroft-call: opens a feed, confirms, uploads, or queries the outcome of an earlier request, and prints the
 * verdict with its reason. Exit status: 0 done, 3 did not run, 4 may have run, 2 wrong command line, invalid receipt or
 * no socket.
 */
#include "call_options.h"
#include "caller_shell.h"
#include "codec_func.h"

#include <boost/asio/signal_set.hpp>

#include <fstream>
#include <iostream>
#include <iterator>

using namespace hawthorncroft;

namespace {

constexpr int usageStatus = 2;

int exitStatusOf(Verdict verdict)
{
    constexpr int didNotRunStatus = 3;
    constexpr int mayHaveRunStatus = 4;
    if (verdict == Verdict::Done)
        return 0;
    return verdict == Verdict::DidNotRun ? didNotRunStatus : mayHaveRunStatus;
}

std::vector<std::uint8_t> bytesOf(const std::string& text) { return { text.begin(), text.end() }; }

void printBytes(const std::vector<std::uint8_t>& bytes)
{
    for (std::uint8_t byte : bytes)
        std::cout.put(static_cast<char>(byte));
    std::cout << std::endl;
}

std::string textOf(const Outcome& outcome)
{
    std::string text(nameOf(outcome.verdict));
    if (outcome.reason != Reason::None)
        text += ": " + std::string(nameOf(outcome.reason));
    if (outcome.retryAfterMs)
        text += ", retry after " + std::to_string(outcome.retryAfterMs) + " ms";
    return text;
}

/** Runs one command and prints its outcome. */
class Call {
public:
    explicit Call(const CallOptions& options)
        : m_options(options)
        , m_signals(m_context, SIGINT, SIGTERM)
    {
    }

    int run()
    {
        Packet receipt;
        if (m_options.command == "query" && !readReceipt(receipt))
            return usageStatus;
        m_shell.emplace(m_context, CallerSettings { .id = receipt.key.caller }, m_options.balancers,
            [this](const CallerEffect& effect) { std::visit(*this, effect); });
        std::string error = m_shell->open({});
        if (!error.empty()) {
            std::cerr << "hawthorncroft-call: cannot open a UDP socket: " << error << '\n';
            return usageStatus;
        }
        Started started = start(receipt);
        if (!started.flow)
            return end({ .verdict = Verdict::DidNotRun, .reason = started.refused });
        m_flow = started.flow;
        m_signals.async_wait([this](boost::system::error_code failure, int) {
            if (!failure)
                m_shell->closeFlow(m_flow);
        });
        m_context.run();
        return m_status;
    }

    void operator()(const SendToFabric&) { }

    void operator()(const Finished& finished)
    {
        writeReceipt(finished.flow);
        end(finished.outcome);
        if (!finished.payload.empty())
            printBytes(finished.payload);
    }

    void operator()(const FeedOpened& opened)
    {
        std::cerr << "feed open at target " << opened.target.value << std::endl;
    }

    void operator()(const FeedEvent& event)
    {
        std::cout << event.sequence << ' ';
        printBytes(event.payload);
        if (m_options.events && ++m_events == m_options.events)
            m_shell->closeFlow(event.flow);
    }

    void operator()(const UploadProgress& progress)
    {
        std::cerr << "acknowledged chunks: " << progress.acknowledged << " of " << progress.total << std::endl;
    }

    void operator()(const FlowBroken& broken)
    {
        if (!broken.reopenedAs) {
            end(broken.outcome);
            return;
        }
        m_flow = broken.reopenedAs;
        std::cerr << "feed broken, reopened: " << textOf(broken.outcome) << std::endl;
    }

private:
    Started start(const Packet& receipt)
    {
        Duration deadline = milliseconds(m_options.deadlineMs);
        std::vector<std::uint8_t> payload = bytesOf(m_options.payload);
        if (m_options.command == "feed")
            return m_shell->openFeed(
                { .service = m_options.service, .payload = std::move(payload), .deadline = deadline });
        if (m_options.command == "upload")
            return m_shell->startUpload(
                { .service = m_options.service, .content = std::move(payload), .deadline = deadline });
        if (m_options.command == "query")
            return m_shell->startQuery({ .flow = receipt.key.flow,
                .service = receipt.name,
                .binding = receipt.binding,
                .deadline = deadline });
        return m_shell->startRequest({ .service = m_options.service,
            .payload = std::move(payload),
            .deadline = deadline,
            .idempotent = m_options.idempotent });
    }

    int end(const Outcome& outcome)
    {
        std::cout << textOf(outcome) << std::endl;
        m_status = exitStatusOf(outcome.verdict);
        m_context.stop();
        return m_status;
    }

    /** Writes the receipt of a confirm: the encoded Query packet that asks for its outcome. */
    void writeReceipt(FlowId flow)
    {
        Packet query;
        query.kind = PacketKind::Query;
        query.key = { m_shell->id(), flow };
        query.name = m_options.service;
        query.binding = m_shell->core().bindingOf(flow);
        if (m_options.receipt.empty() || m_options.command != "confirm" || !query.hasBinding())
            return;
        Bytes bytes;
        encode(query, bytes);
        std::ofstream stream(m_options.receipt, std::ios::binary);
        stream.write(reinterpret_cast<const char*>(bytes.data()), static_cast<std::streamsize>(bytes.size()));
        if (!stream.flush())
            std::cerr << "hawthorncroft-call: receipt " << m_options.receipt << " cannot be written\n";
    }

    bool readReceipt(Packet& receipt)
    {
        std::ifstream stream(m_options.receipt, std::ios::binary);
        Bytes bytes { std::istreambuf_iterator<char>(stream), {} };
        bool isReceipt = decode(bytes, receipt) == DecodeError::None && receipt.kind == PacketKind::Query;
        if (!isReceipt)
            std::cerr << "hawthorncroft-call: " << m_options.receipt << " is not a readable receipt\n";
        return isReceipt;
    }

    CallOptions m_options;
    boost::asio::io_context m_context;
    boost::asio::signal_set m_signals;
    std::optional<CallerShell> m_shell;
    FlowId m_flow;
    std::uint32_t m_events {};
    int m_status { usageStatus };
};

}

int main(int argc, char** argv)
{
    CallOptions options;
    int status = parseCallOptions(argc, argv, options);
    return status >= 0 ? status : Call(options).run();
}
