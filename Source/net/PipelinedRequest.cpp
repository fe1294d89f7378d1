#include "net/PipelinedRequest.h"

#include "net/HttpSyntax.h"

#include <event2/http.h>
#include <event2/http_struct.h>

#include <memory>

namespace Tarragon {

namespace {

constexpr std::string_view LineEnd = "\r\n";

/// Whether evhttp accepts the target of a request.
bool isAcceptedByEvhttp(const std::string &target)
{
    const std::unique_ptr<evhttp_uri, decltype(&evhttp_uri_free)> uri(
            evhttp_uri_parse_with_flags(target.c_str(), EVHTTP_URI_NONCONFORMANT), evhttp_uri_free);
    return uri != nullptr;
}

bool mustWait(std::string_view name, std::string_view value)
{
    return equalsIgnoringCase(name, "Expect")
           || (equalsIgnoringCase(name, "Connection") && hasListToken(value, "close"));
}

} // namespace

std::optional<PipelinedRequest> parsePipelinedRequest(std::string_view head)
{
    std::size_t end = head.find(LineEnd);
    const std::string_view line = head.substr(0, end);
    const std::size_t methodEnd = line.find(' ');
    const std::size_t targetEnd = line.rfind(' ');
    PipelinedRequest request;
    request.method = line.substr(0, methodEnd);
    request.target = line.substr(methodEnd + 1, targetEnd - methodEnd - 1);
    if ((request.method != "GET" && request.method != "HEAD")
        || line.substr(targetEnd + 1) != "HTTP/1.1" || !isAcceptedByEvhttp(request.target)) {
        return std::nullopt;
    }
    std::string_view rest = head.substr(end + LineEnd.size());
    while ((end = rest.find(LineEnd)) != 0) {
        const std::string_view field = rest.substr(0, end);
        const std::size_t colon = field.find(':');
        const std::string_view name = field.substr(0, colon);
        const std::string_view value = trimmed(field.substr(colon + 1));
        if (mustWait(name, value)) {
            return std::nullopt;
        }
        request.headers.add(std::string(name), std::string(value));
        rest.remove_prefix(end + LineEnd.size());
    }
    return request;
}

bool isPipelinable(const evhttp_request &request)
{
    const char *connection = evhttp_find_header(request.input_headers, "Connection");
    return (request.type == EVHTTP_REQ_GET || request.type == EVHTTP_REQ_HEAD)
           && (request.major > 1 || request.minor >= 1)
           && (connection == nullptr || !hasListToken(connection, "close"));
}

} // namespace Tarragon
