#include "entry/RequestHead.h"

#include "base/ParseNumber.h"
#include "entry/ServingState.h"

#include <algorithm>
#include <cctype>

namespace Tarragon {

namespace {

constexpr std::string_view ServicePrefix = "/s/";

constexpr std::int64_t MaxAttempt = 1'000'000;

Failure badRequest(const std::string &detail)
{
    return Failure{ 400, "bad-request", Verdict::NotRun, detail, milliseconds(0) };
}

/// Whether the HTTP method is safe: it only reads, so that running the request twice does no harm.
bool isSafe(const std::string &method)
{
    return method == "GET" || method == "HEAD" || method == "OPTIONS";
}

bool isRequestIdCharacter(char c)
{
    return std::isalnum(static_cast<unsigned char>(c)) != 0 || c == '.' || c == '-' || c == '_';
}

std::optional<Failure> readRequestId(const HttpExchange &exchange, RequestHead &head)
{
    const std::optional<std::string> text = exchange.headers().find(RequestIdHeader);
    if (!text.has_value()) {
        return std::nullopt;
    }
    const bool isValid = !text->empty() && text->size() <= MaxRequestIdBytes
                         && std::all_of(text->begin(), text->end(), isRequestIdCharacter);
    if (!isValid) {
        return badRequest(std::string(RequestIdHeader) + ": found " + std::to_string(text->size())
                          + " bytes, expected 1 to " + std::to_string(MaxRequestIdBytes)
                          + " letters, digits, '.', '-' and '_'");
    }
    head.requestId = RequestId(*text);
    return std::nullopt;
}

/// Parses a header field that is a whole number from 1 to highest. Returns nothing if it is absent.
std::variant<std::optional<std::int64_t>, Failure>
readNumber(const HttpExchange &exchange, const char *name, std::int64_t highest)
{
    const std::optional<std::string> text = exchange.headers().find(name);
    if (!text.has_value()) {
        return std::nullopt;
    }
    const std::optional<std::int64_t> n = parseNumber<std::int64_t>(*text);
    if (!n.has_value() || *n < 1 || *n > highest) {
        return badRequest(std::string(name) + ": found \"" + text->substr(0, 40)
                          + "\", expected 1 to " + std::to_string(highest));
    }
    return n;
}

std::optional<Failure> readDeadline(const HttpExchange &exchange, RequestHead &head)
{
    const std::variant<std::optional<std::int64_t>, Failure> number =
            readNumber(exchange, DeadlineHeader, MaxDeadline.count());
    if (const Failure *failure = std::get_if<Failure>(&number)) {
        return *failure;
    }
    if (const std::optional<std::int64_t> &n = std::get<0>(number)) {
        head.timeLeft = milliseconds(*n);
    }
    return std::nullopt;
}

std::optional<Failure> readAttempt(const HttpExchange &exchange, RequestHead &head)
{
    const std::variant<std::optional<std::int64_t>, Failure> number =
            readNumber(exchange, AttemptHeader, MaxAttempt);
    if (const Failure *failure = std::get_if<Failure>(&number)) {
        return *failure;
    }
    head.attempt = static_cast<int>(std::get<0>(number).value_or(0));
    return std::nullopt;
}

} // namespace

std::variant<RequestHead, Failure> parseRequestHead(const HttpExchange &exchange)
{
    RequestHead head;
    const std::string &uri = exchange.uri();
    const std::size_t nameStart = uri.find(ServicePrefix);
    if (nameStart != 0) {
        return badRequest("found the path \"" + exchange.path() + "\", expected /s/SERVICE/PATH");
    }
    const std::size_t nameEnd = uri.find_first_of("/?", ServicePrefix.size());
    head.service = ServiceId(uri.substr(ServicePrefix.size(), nameEnd - ServicePrefix.size()));
    head.targetUri = nameEnd == std::string::npos ? "/" : uri.substr(nameEnd);
    if (head.targetUri.front() == '?') {
        head.targetUri.insert(0, "/");
    }
    if (std::optional<Failure> failure = readRequestId(exchange, head)) {
        return *failure;
    }
    if (std::optional<Failure> failure = readDeadline(exchange, head)) {
        return *failure;
    }
    if (std::optional<Failure> failure = readAttempt(exchange, head)) {
        return *failure;
    }
    head.isForwarded = exchange.headers().find(ForwardedByHeader).has_value();
    head.callerAddress = exchange.headers().find(CallerHeader).value_or(exchange.remoteAddress());
    if (!parseIpv4(head.callerAddress).has_value()) {
        return badRequest(std::string(CallerHeader) + ": found \""
                          + head.callerAddress.substr(0, 40) + "\", expected an IPv4 address");
    }
    return head;
}

Verdict verdictOfEarlyRefusal(const HttpExchange &exchange)
{
    const bool mayBeRepeated =
            isSafe(exchange.method()) || !exchange.headers().find(RequestIdHeader).has_value();
    const bool isFirst = exchange.headers().find(AttemptHeader) == "1";
    return mayBeRepeated || isFirst ? Verdict::NotRun : Verdict::MayHaveRun;
}

RequestRule ruleOf(const ServiceConfiguration &service, const std::string &method,
                   const std::string &targetUri)
{
    for (const RequestRule &it : service.rules) {
        const bool matchesMethod = it.method == "*" || it.method == method;
        if (matchesMethod && targetUri.compare(0, it.pathPrefix.size(), it.pathPrefix) == 0) {
            return it;
        }
    }
    const bool safe = isSafe(method);
    return RequestRule{ method, "", safe ? RequestClass::Lookup : RequestClass::Booking, safe };
}

} // namespace Tarragon
