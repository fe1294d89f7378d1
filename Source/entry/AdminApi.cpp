#include "entry/AdminApi.h"

#include "base/Digest.h"
#include "base/Error.h"
#include "document/AdminMessages.h"
#include "document/StopsEdit.h"

#include <log4cplus/logger.h>
#include <log4cplus/loggingmacros.h>

#include <chrono>
#include <optional>

namespace Tarragon {

namespace {

constexpr std::string_view StopsPath = "/admin/v1/stops";
constexpr std::string_view BearerPrefix = "Bearer ";
constexpr const char *StopsSection = "stops";

/// Retry-After header of responses with status 503.
constexpr const char *RetryAfterSeconds = "1";

const log4cplus::Logger &logger()
{
    static const log4cplus::Logger instance = log4cplus::Logger::getInstance("admin");
    return instance;
}

void reply(HttpExchange &exchange, int status, const std::string &body)
{
    HttpHeaders headers;
    headers.set("Content-Type", "application/json");
    if (status == 503) {
        headers.set("Retry-After", RetryAfterSeconds);
    }
    exchange.reply(status, headers, body);
}

void refuse(HttpExchange &exchange, int status, const std::string &error, const std::string &detail)
{
    AdminError body;
    body.error = error;
    body.detail = detail;
    reply(exchange, status, adminErrorBody(body));
}

std::string tokenOf(const HttpExchange &exchange)
{
    const std::string text = exchange.headers().find("Authorization").value_or("");
    if (text.compare(0, BearerPrefix.size(), BearerPrefix) != 0) {
        return {};
    }
    return text.substr(BearerPrefix.size());
}

std::string newProposalId()
{
    return sha256Hex(std::to_string(strongRandom()) + std::to_string(strongRandom())).substr(0, 32);
}

std::int64_t unixSecondsNow()
{
    return std::chrono::duration_cast<seconds>(std::chrono::system_clock::now().time_since_epoch())
            .count();
}

/// Returns an edit that replaces the section "stops" and is based on its newest version, so that it
/// does not conflict with earlier edits of the section.
DocumentEdit editOfStops(const DocumentEdit &base, const CurrentDocument &current,
                         const std::string &text)
{
    DocumentEdit edit = base;
    const SectionName section(StopsSection);
    const std::map<SectionName, SectionReference>::const_iterator it =
            current.head.sections.find(section);
    SectionEdit change;
    change.text = text;
    change.basedOn = it == current.head.sections.end() ? SectionVersion(0) : it->second.version;
    edit.sections[section] = change;
    return edit;
}

std::string stopsText(const CurrentDocument &current)
{
    const SectionTexts::const_iterator it = current.texts.find(SectionName(StopsSection));
    return it == current.texts.end() ? std::string() : it->second;
}

} // namespace

AdminApi::AdminApi(AdminContext context)
    : m_context(std::move(context))
{}

void AdminApi::handle(const HttpExchangePtr &exchange)
{
    const std::string &path = exchange->path();
    const std::string call = exchange->method() + " " + path;
    if (call == "GET /admin/v1/status") {
        reply(*exchange, 200, m_context.status());
    } else if (call == "GET /admin/v1/why") {
        why(exchange);
    } else if (call == "GET /admin/v1/document" || call == "GET /admin/v1/history") {
        const CurrentDocument document = m_context.document();
        if (document.head.generation == Generation()) {
            refuse(*exchange, 503, "no-document", "this entry has no document yet");
            return;
        }
        const bool isHistory = path.back() == 'y';
        reply(*exchange, 200, isHistory ? historyBody(document.head) : documentBody(document));
    } else if (call == "POST /admin/v1/apply") {
        apply(exchange);
    } else if (call == "POST /admin/v1/stops") {
        addStop(exchange);
    } else if (exchange->method() == "DELETE"
               && path.compare(0, StopsPath.size() + 1, std::string(StopsPath) + "/") == 0) {
        removeStop(exchange, path.substr(StopsPath.size() + 1));
    } else {
        refuse(*exchange, 404, "not-found",
               "found " + call.substr(0, 100) + ", expected a call of docs/interface-admin.md");
    }
}

void AdminApi::apply(const HttpExchangePtr &exchange)
{
    DocumentEdit edit;
    try {
        edit = parseApplyBody(std::string(exchange->body()));
    } catch (const Error &error) {
        refuse(*exchange, 400, "bad-request", error.what());
        return;
    }
    edit.token = tokenOf(*exchange);
    submit(exchange, edit, [](const DocumentEdit &proposal, const CurrentDocument &current) {
        return prepareEdit(current, proposal);
    });
}

void AdminApi::addStop(const HttpExchangePtr &exchange)
{
    PlannedStop stop;
    try {
        stop = parseStopBody(std::string(exchange->body()));
    } catch (const Error &error) {
        refuse(*exchange, 400, "bad-request", error.what());
        return;
    }
    DocumentEdit edit;
    edit.token = tokenOf(*exchange);
    submit(exchange, edit, [stop](const DocumentEdit &proposal, const CurrentDocument &current) {
        const std::string text = withStop(stopsText(current), stop);
        return prepareEdit(current, editOfStops(proposal, current, text));
    });
}

void AdminApi::removeStop(const HttpExchangePtr &exchange, const std::string &path)
{
    const std::size_t slash = path.find('/');
    const std::optional<StopKind> kind = parseStopKind(path.substr(0, slash));
    if (!kind.has_value() || slash == std::string::npos) {
        refuse(*exchange, 400, "bad-request",
               "found \"" + path.substr(0, 80)
                       + "\", expected target, instance, domain or region, and an id");
        return;
    }
    const std::string id = path.substr(slash + 1);
    if (!withoutStop(stopsText(m_context.document()), *kind, id).has_value()) {
        refuse(*exchange, 404, "not-found",
               "found no planned stop of " + path.substr(0, 80)
                       + " in the document, expected KIND/ID of one of its stops");
        return;
    }
    DocumentEdit edit;
    edit.token = tokenOf(*exchange);
    submit(exchange, edit,
           [kind, id](const DocumentEdit &proposal, const CurrentDocument &current) {
               const std::string text = stopsText(current);
               // If another edit has removed the stop meanwhile, the text stays unchanged.
               const std::string without = withoutStop(text, *kind, id).value_or(text);
               return prepareEdit(current, editOfStops(proposal, current, without));
           });
}

void AdminApi::why(const HttpExchangePtr &exchange)
{
    const ServiceId service(exchange->query("service"));
    const std::string caller = exchange->query("caller");
    if (m_context.state.configuration() == nullptr) {
        refuse(*exchange, 503, "no-document", "this entry has no document yet");
        return;
    }
    if (m_context.state.findService(service) == nullptr) {
        refuse(*exchange, 404, "not-found",
               "service: found \"" + service.value().substr(0, 80)
                       + "\", expected a service of the document");
        return;
    }
    if (!parseIpv4(caller).has_value()) {
        refuse(*exchange, 400, "bad-request",
               "caller: found \"" + caller.substr(0, 40) + "\", expected an IPv4 address");
        return;
    }
    reply(*exchange, 200, m_context.lookups.explain(service, caller));
}

void AdminApi::submit(const HttpExchangePtr &exchange, DocumentEdit edit,
                      const PrepareEdit &prepare)
{
    edit.proposalId = newProposalId();
    edit.unixSeconds = unixSecondsNow();
    const std::shared_ptr<EditSession> session = std::make_shared<EditSession>(
            m_context.loop, m_context.store, m_context.document().texts,
            [prepare, edit](const CurrentDocument &current) { return prepare(edit, current); },
            edit.proposalId,
            [this, exchange, edit](const EditOutcome &outcome) {
                onOutcome(exchange, edit, outcome);
            });
    session->start();
}

void AdminApi::onOutcome(const HttpExchangePtr &exchange, const DocumentEdit &edit,
                         const EditOutcome &outcome)
{
    if (outcome.isStoreUnavailable) {
        AdminError error;
        error.error = "unavailable";
        error.detail =
                outcome.mayBeAccepted
                        ? "the store's result for the write of the head was lost, and reading"
                          " the head back did not show whether the edit was accepted"
                        : "the store cannot be reached or did not complete the edit;"
                          " the edit was not accepted";
        error.mayBeAccepted = outcome.mayBeAccepted;
        reply(*exchange, 503, adminErrorBody(error));
        return;
    }
    const EditResult &result = outcome.result;
    if (result.status == EditStatus::Ready) {
        LOG4CPLUS_INFO(logger(), "The store accepted an edit of the document. generation="
                                         << result.next.generation << " team=" << result.team);
        m_context.accepted(result.next, result.texts);
    }
    reply(*exchange, httpStatus(result.status), editResultBody(result, edit));
}

void AdminApi::seed(const SectionTexts &texts)
{
    const std::string proposalId = newProposalId();
    const std::int64_t unixSeconds = unixSecondsNow();
    const std::shared_ptr<EditSession> session = std::make_shared<EditSession>(
            m_context.loop, m_context.store, texts,
            [texts, proposalId, unixSeconds](const CurrentDocument &current) {
                if (current.head.generation != Generation()) {
                    EditResult unchanged;
                    unchanged.status = EditStatus::Unchanged;
                    return unchanged;
                }
                return prepareSeed(texts, proposalId, unixSeconds);
            },
            proposalId,
            [this](const EditOutcome &outcome) {
                if (outcome.isStoreUnavailable || outcome.result.status != EditStatus::Ready) {
                    return;
                }
                LOG4CPLUS_INFO(logger(), "The store was empty and accepted the document file as "
                                         "the first document.");
                m_context.accepted(outcome.result.next, outcome.result.texts);
            });
    session->start();
}

} // namespace Tarragon
