#include "Cases.h"

#include <csignal>
namespace Stage {

namespace {

const Machine SmallMachine{ 160, "0.1", "10" };

constexpr int Upstreams = 4;
constexpr int SlotsOfUpstream = 6;
constexpr int WorkMs = 20;
constexpr std::size_t AnswerBytes = 60'000;

constexpr int Clients = 20;
constexpr int TimeBudgetMs = 4'000;
/// A client 20 ms away: it gets what it can hold, and the rest a round trip later.
constexpr int ReceiveBuffer = 16'384;
constexpr int SegmentBytes = 1'400;
constexpr int RoundTripMs = 40;
/// The further request is sent so long after the first one, when the answer to the first is on its
/// way and has not arrived.
constexpr int FurtherRequestMs = 35;

/// Reads an answer of which a window's worth arrives in each round trip.
std::optional<Message> readSlowly(Socket &socket, int timeoutMs)
{
    const std::int64_t end = nowMs() + timeoutMs;
    while (nowMs() < end) {
        if (!socket.receive(timeoutMs, ReceiveBuffer / 2)) {
            return std::nullopt;
        }
        const std::size_t headEnd = socket.buffer.find("\r\n\r\n");
        if (headEnd != std::string::npos && socket.buffer.size() >= headEnd + 4 + AnswerBytes) {
            return socket.readMessage(0, true);
        }
        sleepMs(RoundTripMs / 2);
    }
    return std::nullopt;
}

} // namespace

void runStopWhilePipelining(const CaseInput &input)
{
    Record &record = input.record;
    Store store("127.0.0.1", record);
    const std::string body(AnswerBytes, 't');
    const auto serve = [&](Socket &socket) {
        while (const std::optional<Message> request = socket.readMessage(60'000, false)) {
            record.line("upstream runs " + request->value("Attempt-Id"));
            sleepMs(WorkMs);
            if (socket.send(response(200, answerHeaders(*request), body))) {
                record.line("upstream has answered " + request->value("Attempt-Id"));
            }
        }
    };
    std::vector<std::unique_ptr<Listener>> listeners;
    for (int i = 0; i < Upstreams; ++i) {
        const std::string address = "127.0.2." + std::to_string(i + 1);
        listeners.push_back(std::make_unique<Listener>(address, 0, serve));
        store.put("servers", "i-" + std::to_string(i),
                  upstreamSpec("tileserve",
                               address + ":" + std::to_string(listeners.back()->port()), "thess-a",
                               SlotsOfUpstream));
    }
    store.put("config", "main",
              desiredState(1, { { "tile-read", "/tile/", "safe", "tileserve", 2.5, 0.6 } }));
    Gateway gateway(input.program, input.folder, 1, store.port(), SmallMachine, record);
    gateway.start();
    if (!gateway.waitReady(15'000)) {
        finish(input, gateway, "not run: the gateway did not become ready", Outcome::NotRun);
    }

    std::atomic<int> whole{ 0 };
    std::atomic<int> refused{ 0 };
    std::atomic<int> lost{ 0 };
    std::atomic<int> warm{ 0 };
    std::atomic<bool> mayGoOn{ false };
    std::vector<std::thread> clients;
    for (int i = 0; i < Clients; ++i) {
        clients.emplace_back([&, i] {
            const std::string number = std::to_string(i);
            Socket socket;
            socket.connect(gateway.address(), gateway.frontPort(), ReceiveBuffer, SegmentBytes);
            socket.send(requestText("/tile/" + number, "w" + number, TimeBudgetMs));
            const bool isWarm = readSlowly(socket, 5'000).has_value();
            ++warm;
            if (!isWarm) {
                return;
            }
            while (!mayGoOn) {
                sleepMs(1);
            }
            // Spread, so that the upstreams need not queue.
            sleepMs(i * 50);
            socket.send(requestText("/tile/" + number, "b" + number, TimeBudgetMs));
            sleepMs(FurtherRequestMs);
            socket.send(requestText("/tile/" + number, "c" + number, TimeBudgetMs));
            sleepMs(2 * RoundTripMs - FurtherRequestMs);
            const std::optional<Message> answer = readSlowly(socket, TimeBudgetMs);
            if (!answer.has_value()) {
                ++lost;
                record.line("client b" + number + ": the connection ended with errno "
                            + std::to_string(socket.failure) + " after "
                            + std::to_string(socket.buffer.size()) + " bytes of the answer");
            } else if (answer->status() == 200) {
                ++whole;
                record.line("client b" + number + " got the whole answer");
            } else {
                ++refused;
                record.line("client b" + number + " got " + answer->startLine);
            }
        });
    }
    while (warm < Clients) {
        sleepMs(1);
    }
    if (input.hasTrouble) {
        gateway.signal(SIGTERM);
    }
    sleepMs(200);
    mayGoOn = true;
    for (std::thread &it : clients) {
        it.join();
    }
    const std::string summary = "requests sent " + std::to_string(Clients) + ", whole answers "
                                + std::to_string(whole) + ", refused " + std::to_string(refused)
                                + ", run and ended without a complete answer "
                                + std::to_string(lost);
    if (whole + refused + lost < Clients) {
        finish(input, gateway, "not run: " + summary, Outcome::NotRun);
    }
    finish(input, gateway, summary, lost > 0 ? Outcome::Broken : Outcome::Held);
}

} // namespace Stage
