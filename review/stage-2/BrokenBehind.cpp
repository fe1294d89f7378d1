#include "Cases.h"

namespace Stage {

namespace {

const Machine SmallMachine{ 160, "0.1", "10" };

constexpr int UpstreamsOfService = 4;
constexpr int SlotsOfUpstream = 6;
constexpr int WorkMs = 20;
constexpr std::size_t AnswerBytes = 60'000;
/// `garble` on the sites: up to 0.6 of the upstreams break off or spoil up to 0.05 of their
/// answers.
constexpr int BrokenPerHundred = 5;
constexpr std::size_t BrokenAfterBytes = 40'000;

constexpr int Clients = 20;
constexpr int RoundsOfClient = 20;
constexpr int TimeBudgetMs = 4'000;
constexpr int ReceiveBuffer = 16'384;
constexpr int SegmentBytes = 1'400;
constexpr int RoundTripMs = 40;
/// The rule LOST allows three.
constexpr int AllowedLosses = 3;

/// Reads an answer of which a window's worth arrives in each round trip.
std::optional<Message> readSlowly(Socket &socket)
{
    const std::int64_t end = nowMs() + TimeBudgetMs;
    while (nowMs() < end) {
        const std::size_t headEnd = socket.buffer.find("\r\n\r\n");
        if (headEnd != std::string::npos
            && (socket.buffer.size() >= headEnd + 4 + AnswerBytes
                || socket.buffer.rfind("HTTP/1.1 200", 0) != 0)) {
            return socket.readMessage(TimeBudgetMs, true);
        }
        if (!socket.receive(TimeBudgetMs, ReceiveBuffer / 2)) {
            return std::nullopt;
        }
        sleepMs(RoundTripMs / 2);
    }
    return std::nullopt;
}

} // namespace

void runBrokenBehind(const CaseInput &input)
{
    Record &record = input.record;
    Store store("127.0.0.1", record);
    const std::string body(AnswerBytes, 't');
    const auto serveSoundly = [&](Socket &socket) {
        while (const std::optional<Message> request = socket.readMessage(60'000, false)) {
            sleepMs(WorkMs);
            if (socket.send(response(200, answerHeaders(*request), body))) {
                record.line("sound upstream has answered " + request->value("Attempt-Id"));
            }
        }
    };
    std::atomic<int> faultyAnswers{ 0 };
    const auto serveFaultily = [&](Socket &socket) {
        while (const std::optional<Message> request = socket.readMessage(60'000, false)) {
            sleepMs(WorkMs);
            const std::string text = response(200, answerHeaders(*request), body);
            const bool isBroken =
                    input.hasTrouble && ++faultyAnswers % (100 / BrokenPerHundred) == 0;
            if (isBroken) {
                record.line("faulty upstream breaks off " + request->value("Attempt-Id"));
                socket.send(std::string_view(text).substr(0, BrokenAfterBytes));
                sleepMs(5);
                return;
            }
            socket.send(text);
        }
    };
    std::vector<std::unique_ptr<Listener>> listeners;
    for (int i = 0; i < 2 * UpstreamsOfService; ++i) {
        const bool isSound = i < UpstreamsOfService;
        const std::string address = "127.0.2." + std::to_string(i + 1);
        listeners.push_back(std::make_unique<Listener>(address, 0,
                                                       isSound ? Listener::Serve(serveSoundly)
                                                               : Listener::Serve(serveFaultily)));
        store.put("servers", "i-" + std::to_string(i),
                  upstreamSpec(isSound ? "tileserve" : "licencedesk",
                               address + ":" + std::to_string(listeners.back()->port()), "thess-a",
                               SlotsOfUpstream));
    }
    store.put(
            "config", "main",
            desiredState(1, { { "tile-read", "/tile/", "safe", "tileserve", 2.5, 0.6 },
                              { "licence-read", "/licence/", "safe", "licencedesk", 2.5, 0.6 } }));
    Gateway gateway(input.program, input.folder, 1, store.port(), SmallMachine, record);
    gateway.start();
    if (!gateway.waitReady(15'000)) {
        finish(input, gateway, "not run: the gateway did not become ready", Outcome::NotRun);
    }

    std::atomic<int> whole{ 0 };
    std::atomic<int> refused{ 0 };
    std::atomic<int> lost{ 0 };
    std::vector<std::thread> clients;
    for (int i = 0; i < Clients; ++i) {
        clients.emplace_back([&, i] {
            std::unique_ptr<Socket> socket;
            for (int n = 0; n < RoundsOfClient; ++n) {
                if (socket == nullptr) {
                    socket = std::make_unique<Socket>();
                    socket->connect(gateway.address(), gateway.frontPort(), ReceiveBuffer,
                                    SegmentBytes);
                }
                const std::string number = std::to_string(i) + "." + std::to_string(n);
                socket->send(requestText("/tile/" + number, "a" + number, TimeBudgetMs)
                             + requestText("/licence/" + number, "b" + number, TimeBudgetMs));
                sleepMs(2 * RoundTripMs);
                const std::optional<Message> first = readSlowly(*socket);
                if (!first.has_value()) {
                    ++lost;
                    record.line("client a" + number + ": the connection ended with errno "
                                + std::to_string(socket->failure) + " after "
                                + std::to_string(socket->buffer.size()) + " bytes of the answer");
                    socket.reset();
                    continue;
                }
                ++(first->status() == 200 ? whole : refused);
                if (!readSlowly(*socket).has_value()) {
                    record.line("client b" + number + ": the connection ended");
                    socket.reset();
                }
            }
        });
    }
    for (std::thread &it : clients) {
        it.join();
    }
    const std::string summary = "requests to sound upstreams "
                                + std::to_string(Clients * RoundsOfClient) + ", whole answers "
                                + std::to_string(whole) + ", refused " + std::to_string(refused)
                                + ", answered by the upstream and lost " + std::to_string(lost);
    finish(input, gateway, summary, lost > AllowedLosses ? Outcome::Broken : Outcome::Held);
}

} // namespace Stage
