#pragma once

#include "document/DocumentEdit.h"
#include "net/EventLoop.h"
#include "net/HttpServer.h"

#include <string>

namespace Tarragon {

/// Serves the administration API from memory, with the rules of the document package.
class AdminStandIn
{
public:
    explicit AdminStandIn(EventLoop &loop);

    std::string address() const { return "127.0.0.1:" + std::to_string(m_server.port()); }
    /// Every request is answered 503 from now on.
    void setUnavailable(bool isUnavailable) { m_isUnavailable = isUnavailable; }
    /// The next edit takes effect, and the connection breaks in place of the answer.
    void loseNextAnswer() { m_losesNextAnswer = true; }

    CurrentDocument document;

private:
    void handle(const HttpExchangePtr &exchange);
    void answerEdit(const HttpExchangePtr &exchange, DocumentEdit edit);
    void changeStops(const HttpExchangePtr &exchange);

    bool m_isUnavailable = false;
    bool m_losesNextAnswer = false;
    HttpServer m_server;
};

} // namespace Tarragon
