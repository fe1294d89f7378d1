#include "Cases.h"

namespace Stage {

namespace {

constexpr int Upstreams = 12;
constexpr int SlotsOfUpstream = 6;
constexpr int WorkMs = 5;
/// `garble` with `extra` on the sites: up to 0.6 of the upstreams, up to 0.03 of their answers.
constexpr int FaultyUpstreams = 7;
constexpr int ExtraPerThousand = 30;
/// Additional bytes after a complete response, in turn with a copy of that response that lacks the
/// line with the id. They belong to no request.
constexpr std::string_view BareError = "HTTP/1.1 400 Bad Request\r\n"
                                       "Content-Length: 0\r\n\r\n";

constexpr int Clients = 10;
constexpr int RequestsOfClient = 300;
constexpr int TimeBudgetMs = 1'200;

} // namespace

void runAdditionalBytes(const CaseInput &input)
{
    Record &record = input.record;
    Store store("127.0.0.1", record);
    std::atomic<int> answers{ 0 };
    std::atomic<int> extras{ 0 };
    const auto serve = [&](Socket &socket, bool isFaulty) {
        std::string extra;
        while (const std::optional<Message> request = socket.readMessage(60'000, false)) {
            if (!extra.empty()) {
                // What is left over of the answer before arrives where this answer is due.
                ++extras;
                record.line("upstream sends additional bytes of the answer before, then answers "
                            + request->value("Attempt-Id"));
                socket.send(extra);
                extra.clear();
            }
            sleepMs(WorkMs);
            const std::string id = request->value("Attempt-Id");
            const std::string body = "answer to " + id;
            socket.send(response(200, answerHeaders(*request), body));
            const int number = isFaulty && input.hasTrouble ? ++answers : 0;
            if (number > 0 && number % (1'000 / ExtraPerThousand) == 0) {
                const bool isCopy = number / (1'000 / ExtraPerThousand) % 2 == 0;
                extra = isCopy ? response(200, { { "Response-Seal", "seal-" + id } }, body)
                               : std::string(BareError);
            }
        }
    };
    std::vector<std::unique_ptr<Listener>> listeners;
    for (int i = 0; i < Upstreams; ++i) {
        const std::string address = "127.0.2." + std::to_string(i + 1);
        const bool isFaulty = i < FaultyUpstreams;
        listeners.push_back(std::make_unique<Listener>(
                address, 0, [&serve, isFaulty](Socket &socket) { serve(socket, isFaulty); }));
        store.put("servers", "i-" + std::to_string(i),
                  upstreamSpec("catalog", address + ":" + std::to_string(listeners.back()->port()),
                               "thess-a", SlotsOfUpstream));
    }
    store.put("config", "main",
              desiredState(1, { { "model-lookup", "/lookup/", "safe", "catalog", 1.2, 0.25 } }));
    Gateway gateway(input.program, input.folder, 1, store.port(), Machine{}, record);
    gateway.start();
    if (!gateway.waitReady(15'000)) {
        finish(input, gateway, "not run: the gateway did not become ready", Outcome::NotRun);
    }

    std::atomic<int> right{ 0 };
    std::atomic<int> bareErrors{ 0 };
    std::atomic<int> copies{ 0 };
    std::atomic<int> failed{ 0 };
    std::vector<std::thread> clients;
    for (int i = 0; i < Clients; ++i) {
        clients.emplace_back([&, i] {
            Socket socket;
            socket.connect(gateway.address(), gateway.frontPort());
            for (int n = 0; n < RequestsOfClient; ++n) {
                const std::string id = "q" + std::to_string(i) + "." + std::to_string(n);
                socket.send(requestText("/lookup/" + id, id, TimeBudgetMs));
                const std::optional<Message> answer = socket.readMessage(TimeBudgetMs + 500, true);
                if (!answer.has_value()) {
                    ++failed;
                    record.line("client " + id + " got no answer");
                    return;
                }
                if (answer->status() == 200 && answer->body == "answer to " + id) {
                    ++right;
                } else if (answer->status() == 400) {
                    // No upstream gave this status to the request, nor does the gateway object.
                    ++bareErrors;
                    record.line("client " + id + " got " + answer->startLine + ", "
                                + std::to_string(answer->headers.size()) + " headers, "
                                + std::to_string(answer->body.size()) + " bytes");
                } else if (answer->status() == 200) {
                    ++copies;
                    record.line("client " + id + " got 200 with \"" + answer->body
                                + "\" and the seal " + answer->value("Response-Seal"));
                } else {
                    ++failed;
                    record.line("client " + id + " got " + answer->startLine);
                }
            }
        });
    }
    for (std::thread &it : clients) {
        it.join();
    }
    const std::string summary = "requests " + std::to_string(Clients * RequestsOfClient)
                                + ", right answers " + std::to_string(right)
                                + ", additional bytes sent " + std::to_string(extras)
                                + ", clients that got as their answer the bare error "
                                + std::to_string(bareErrors) + ", the copy of another answer "
                                + std::to_string(copies) + ", failed " + std::to_string(failed);
    finish(input, gateway, summary, bareErrors + copies > 0 ? Outcome::Broken : Outcome::Held);
}

} // namespace Stage
