#include "Cases.h"

#include <csignal>
#include <iostream>

#include <unistd.h>

namespace Stage {

void finish(const CaseInput &input, Gateway &gateway, const std::string &summary, Outcome outcome)
{
    input.record.line(summary);
    std::cout << summary << "\n" << std::flush;
    if (gateway.pid() > 0) {
        gateway.signal(SIGKILL);
        static_cast<void>(gateway.wait(2'000));
    }
    _exit(static_cast<int>(outcome));
}

std::string requestText(const std::string &path, const std::string &id, int timeMs,
                        const std::string &body)
{
    std::string text = (body.empty() ? "GET " : "POST ") + path
                       + " HTTP/1.1\r\nHost: shop.example\r\nAttempt-Id: " + id
                       + "\r\nRequest-Deadline: " + std::to_string(timeMs) + "\r\n";
    if (!body.empty()) {
        text += "Content-Length: " + std::to_string(body.size()) + "\r\n";
    }
    return text + "\r\n" + body;
}

Headers answerHeaders(const Message &request)
{
    const std::string id = request.value("Attempt-Id");
    return { { "Attempt-Id", id }, { "Response-Seal", "seal-" + id } };
}

} // namespace Stage
