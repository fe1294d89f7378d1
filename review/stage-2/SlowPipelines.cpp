#include "Cases.h"

#include <csignal>
#include <sys/socket.h>

namespace Stage {

namespace {

/// The smallest machine of cvhu-charts-grown.
const Machine SmallMachine{ 160, "0.1", "10" };
constexpr long KiBPerMegabyte = 1'024;

constexpr int Upstreams = 24;
constexpr int SlotsOfUpstream = 6;
constexpr int WorkMs = 20;
constexpr std::size_t FirstAnswerBytes = 240'000;
constexpr std::size_t FurtherAnswerBytes = 32'000;

constexpr int SlowClients = 450;
constexpr int FurtherRequests = 8;
/// Time budget of tile-read.
constexpr int TimeBudgetMs = 4'000;
/// A client far away: a small window, and segments as on a network.
constexpr int ReceiveBuffer = 16'384;
constexpr int SegmentBytes = 1'400;
/// A slow client reads so much in each period.
constexpr std::size_t SlowReadBytes = 2'048;
constexpr int SlowReadPeriodMs = 100;

constexpr int OrdinaryClients = 10;
constexpr int OrdinaryWorkMs = 880;
/// The rule LOST allows three.
constexpr int AllowedLosses = 3;

void readSome(Socket &socket, std::size_t max)
{
    std::string block(max, '\0');
    static_cast<void>(recv(socket.fd(), block.data(), block.size(), MSG_DONTWAIT));
}

} // namespace

void runSlowPipelines(const CaseInput &input)
{
    Record &record = input.record;
    Store store("127.0.0.1", record);
    const std::string first(FirstAnswerBytes, 'f');
    const std::string further(FurtherAnswerBytes, 'g');
    std::atomic<int> runs{ 0 };
    const auto serve = [&](Socket &socket) {
        while (const std::optional<Message> request = socket.readMessage(60'000, false)) {
            ++runs;
            const bool isOrdinary = request->target().rfind("/notice/", 0) == 0;
            const bool isFirst = request->target().rfind("/tile/first", 0) == 0;
            sleepMs(isOrdinary ? OrdinaryWorkMs : WorkMs);
            socket.send(response(200, answerHeaders(*request),
                                 isOrdinary ? "noted" : (isFirst ? first : further)));
        }
    };
    std::vector<std::unique_ptr<Listener>> listeners;
    for (int i = 0; i < 2 * Upstreams; ++i) {
        const std::string address = "127.0.2." + std::to_string(i + 1);
        listeners.push_back(std::make_unique<Listener>(address, 0, serve));
        store.put("servers", "i-" + std::to_string(i),
                  upstreamSpec(i < Upstreams ? "tileserve" : "avurnav",
                               address + ":" + std::to_string(listeners.back()->port()), "thess-a",
                               SlotsOfUpstream));
    }
    store.put("config", "main",
              desiredState(1, { { "tile-read", "/tile/", "safe", "tileserve", 2.5, 0.6 },
                                { "notice-file", "/notice/", "unsafe", "avurnav", 6, 1.5 } }));
    Gateway gateway(input.program, input.folder, 1, store.port(), SmallMachine, record);
    gateway.start();
    if (!gateway.waitReady(15'000)) {
        finish(input, gateway, "not run: the gateway did not become ready", Outcome::NotRun);
    }

    // The platform: a process that exceeds the memory of its machine is killed.
    std::atomic<bool> isOver{ false };
    std::atomic<bool> isKilled{ false };
    std::atomic<long> peakKiB{ 0 };
    std::thread platform([&] {
        while (!isOver) {
            const long used = gateway.memoryKiB("VmRSS");
            peakKiB = std::max<long>(peakKiB, used);
            if (used > SmallMachine.memoryMegabytes * KiBPerMegabyte && !isKilled) {
                record.line("the process uses " + std::to_string(used) + " KiB: killed");
                isKilled = true;
                gateway.signal(SIGKILL);
            }
            sleepMs(10);
        }
    });

    // Ordinary clients: one request after the other on a kept connection.
    std::atomic<int> answered{ 0 };
    std::atomic<int> lost{ 0 };
    std::vector<std::thread> ordinary;
    for (int i = 0; i < OrdinaryClients; ++i) {
        ordinary.emplace_back([&, i] {
            Socket socket;
            bool isConnected = socket.connect(gateway.address(), gateway.frontPort());
            for (int n = 0; isConnected && !isOver; ++n) {
                const std::string id = "o" + std::to_string(i) + "." + std::to_string(n);
                isConnected = socket.send(requestText("/notice/" + id, id, 6'000, "notice"));
                const std::optional<Message> answer =
                        isConnected ? socket.readMessage(6'500, true) : std::nullopt;
                isConnected = answer.has_value();
                if (answer.has_value()) {
                    ++answered;
                    record.line("client " + id + " got " + std::to_string(answer->status()));
                } else {
                    ++lost;
                    record.line("client " + id + " got no answer: the connection ended");
                }
            }
        });
    }
    sleepMs(1'000);

    std::vector<std::unique_ptr<Socket>> clients;
    for (int i = 0; i < SlowClients; ++i) {
        clients.push_back(std::make_unique<Socket>());
        clients.back()->connect(gateway.address(), gateway.frontPort(), ReceiveBuffer,
                                SegmentBytes);
    }
    std::thread reader([&] {
        while (!isOver) {
            for (const std::unique_ptr<Socket> &it : clients) {
                readSome(*it, input.hasTrouble ? SlowReadBytes : 1'000'000);
            }
            sleepMs(input.hasTrouble ? SlowReadPeriodMs : 1);
        }
    });
    record.line(std::to_string(SlowClients) + " clients send their first requests");
    const std::int64_t startedAt = nowMs();
    for (int i = 0; i < SlowClients; ++i) {
        const std::string id = "f" + std::to_string(i);
        clients[i]->send(requestText("/tile/first/" + id, id, TimeBudgetMs));
        if (i % 10 == 9) {
            sleepMs(10);
        }
    }
    sleepMs(100);
    record.line("each sends " + std::to_string(FurtherRequests) + " further requests, process "
                + std::to_string(gateway.memoryKiB("VmRSS")) + " KiB");
    for (int n = 0; n < FurtherRequests; ++n) {
        for (int i = 0; i < SlowClients; ++i) {
            const std::string id = "g" + std::to_string(i) + "." + std::to_string(n);
            clients[i]->send(requestText("/tile/further/" + id, id, TimeBudgetMs));
            if (i % 10 == 9) {
                sleepMs(3);
            }
        }
    }
    // The clients leave at the end of the time budget of their first requests.
    while (nowMs() < startedAt + TimeBudgetMs && !isKilled) {
        sleepMs(20);
    }
    sleepMs(1'000);
    isOver = true;
    platform.join();
    reader.join();
    for (std::thread &it : ordinary) {
        it.join();
    }
    const std::string summary =
            "memory of the machine " + std::to_string(SmallMachine.memoryMegabytes * KiBPerMegabyte)
            + " KiB, peak of the process " + std::to_string(peakKiB) + " KiB; upstreams ran "
            + std::to_string(runs) + "; ordinary requests answered " + std::to_string(answered)
            + ", ended without an answer " + std::to_string(lost);
    finish(input, gateway, summary,
           isKilled && lost > AllowedLosses ? Outcome::Broken : Outcome::Held);
}

} // namespace Stage
