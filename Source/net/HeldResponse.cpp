#include "net/HeldResponse.h"

#include "net/HttpExchangeState.h"

namespace Tarragon {

void HeldResponse::deliver(const std::shared_ptr<HttpServerConnection> &connection,
                           evhttp_request *request)
{
    if (exchange != nullptr && !exchange->ended) {
        exchange->bind(request);
        return;
    }
    std::unique_ptr<HttpExchange::State> state =
            std::make_unique<HttpExchange::State>(connection, request);
    connection->exchange = state.get();
    HttpExchange writer(std::move(state));
    if (isStreamed) {
        writer.startReply(status, headers);
        writer.send(body);
        writer.finish();
    } else {
        writer.reply(status, headers, body);
    }
}

} // namespace Tarragon
