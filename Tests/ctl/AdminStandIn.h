#pragma once

#include "document/DocumentEdit.h"
#include "net/EventLoop.h"
#include "net/HttpServer.h"

#include <string>

namespace Tarragon {

/// Serves the administration API from a document in memory. Edits are checked by the code of
/// Source/document.
class AdminStandIn
{
public:
    explicit AdminStandIn(EventLoop &loop);

    std::string address() const { return "127.0.0.1:" + std::to_string(m_server.port()); }
    /// While unavailable, every request gets a response with status 503.
    void setUnavailable(bool isUnavailable) { m_isUnavailable = isUnavailable; }
    /// Makes the next edit take effect but closes its connection without a response.
    void dropNextResponse() { m_dropsNextResponse = true; }

    CurrentDocument document;

private:
    void handle(const HttpExchangePtr &exchange);
    void applyEdit(const HttpExchangePtr &exchange, DocumentEdit edit);
    void changeStops(const HttpExchangePtr &exchange);

    bool m_isUnavailable = false;
    bool m_dropsNextResponse = false;
    HttpServer m_server;
};

} // namespace Tarragon
