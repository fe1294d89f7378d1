#include "ctl/AdminStandIn.h"

#include "base/Error.h"
#include "document/AdminMessages.h"
#include "document/StopsEdit.h"

namespace Tarragon {

namespace {

void reply(const HttpExchangePtr &exchange, int status, const std::string &body)
{
    HttpHeaders headers;
    headers.set("Content-Type", "application/json");
    exchange->reply(status, headers, body);
}

std::string tokenOf(const HttpExchangePtr &exchange)
{
    static constexpr std::string_view Scheme = "Bearer ";
    const std::string value = exchange->headers().find("Authorization").value_or("");
    return value.starts_with(Scheme) ? value.substr(Scheme.size()) : std::string();
}

} // namespace

AdminStandIn::AdminStandIn(EventLoop &loop)
    : m_server(loop, "127.0.0.1", 0, HttpServerLimits(),
               [this](const HttpExchangePtr &exchange) { handle(exchange); })
{}

void AdminStandIn::handle(const HttpExchangePtr &exchange)
{
    const std::string &path = exchange->path();
    if (m_isUnavailable) {
        reply(exchange, 503, adminErrorBody({ "unavailable", "the store is down", {}, {}, true }));
    } else if (path == "/admin/v1/document") {
        reply(exchange, 200, documentBody(document));
    } else if (path == "/admin/v1/history") {
        reply(exchange, 200, historyBody(document.head));
    } else if (path == "/admin/v1/apply") {
        applyEdit(exchange, parseApplyBody(std::string(exchange->body())));
    } else if (path.starts_with("/admin/v1/stops")) {
        changeStops(exchange);
    } else if (path == "/admin/v1/status") {
        reply(exchange, 200,
              R"({"instance":"entry-1","failureDomain":"north-a","region":"north",)"
              R"("state":"serving","generation":3,"planVersion":2,"store":{"reachable":true},)"
              R"("stops":[{"kind":"target","id":"parts-1","state":"draining",)"
              R"("deadlineSeconds":60,"reason":"fan","pending":[{"instance":"entry-1",)"
              R"("what":"requests","count":2}]}]})");
    } else {
        reply(exchange, 200,
              R"({"service":"parts","caller":"10.1.2.3","generation":3,"planVersion":2,)"
              R"("outcome":"found","block":"10.1.0.0/16","callerRegion":"north","fromPlan":true,)"
              R"("candidates":[{"region":"north","weightPpm":666667,"score":0.25}],)"
              R"("servingRegion":"north","entries":[{"id":"entry-1","failureDomain":"north-a",)"
              R"("region":"north","state":"live","position":1}]})");
    }
}

void AdminStandIn::applyEdit(const HttpExchangePtr &exchange, DocumentEdit edit)
{
    edit.token = tokenOf(exchange);
    EditResult result = prepareEdit(document, edit);
    if (result.status == EditStatus::Ready) {
        document = { result.next, result.texts };
    }
    for (SectionConflict &it : result.conflicts) {
        it.basedOnText = "targets: []\n";
    }
    if (m_dropsNextResponse) {
        m_dropsNextResponse = false;
        exchange->abort();
        return;
    }
    reply(exchange, httpStatus(result.status), editResultBody(result, edit));
}

void AdminStandIn::changeStops(const HttpExchangePtr &exchange)
{
    const SectionName stops("stops");
    const std::string &text = document.texts.at(stops);
    std::optional<std::string> changed;
    if (exchange->method() == "POST") {
        changed = withStop(text, parseStopBody(std::string(exchange->body())));
    } else {
        const std::string &path = exchange->path();
        const std::size_t id = path.rfind('/') + 1;
        const std::size_t kind = path.rfind('/', id - 2) + 1;
        changed = withoutStop(text, parseStopKind(path.substr(kind, id - 1 - kind)).value(),
                              path.substr(id));
    }
    if (!changed) {
        reply(exchange, 404, adminErrorBody({ "not-found", "no such stop", {}, {}, false }));
        return;
    }
    DocumentEdit edit;
    edit.sections[stops] = { changed, document.head.sections.at(stops).version };
    applyEdit(exchange, edit);
}

} // namespace Tarragon
