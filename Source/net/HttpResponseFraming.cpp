#include "net/HttpResponseFraming.h"

#include "net/HttpSyntax.h"

#include <event2/http.h>
#include <event2/http_struct.h>
#include <event2/keyvalq_struct.h>

#include <algorithm>
#include <string_view>

namespace Tarragon {

namespace {

constexpr int NoContent = 204;
constexpr int NotModified = 304;

/// Whether the text starts with the status code of a status line.
bool startsWithStatusCode(std::string_view text)
{
    static constexpr std::size_t CodeLength = 3;
    return text.size() >= CodeLength && (text.size() == CodeLength || text[CodeLength] == ' ')
           && std::all_of(text.begin(), text.begin() + CodeLength,
                          [](char ch) { return ch >= '0' && ch <= '9'; });
}

/// Whether the text contains a status line.
bool containsStatusLine(std::string_view text)
{
    static constexpr std::string_view Protocol = "HTTP/1.";
    static constexpr std::size_t VersionLength = 2; // a digit and a space
    for (std::size_t at = text.find(Protocol); at != std::string_view::npos;
         at = text.find(Protocol, at + 1)) {
        const std::string_view rest = text.substr(at + Protocol.size());
        if (rest.size() > VersionLength && startsWithStatusCode(rest.substr(VersionLength))) {
            return true;
        }
    }
    return false;
}

/// Whether the head contains the status line of another one: the peer has broken off a response and
/// then sent another. The status and first fields are those of the former.
bool isSplicedHead(const evhttp_request &request)
{
    const char *line = request.response_code_line;
    const std::string_view phrase = line == nullptr ? std::string_view() : line;
    // A status line that is broken off after its code takes the next one's version into the code.
    bool isSpliced = startsWithStatusCode(phrase) || containsStatusLine(phrase);
    for (const evkeyval *it = request.input_headers->tqh_first; it != nullptr;
         it = it->next.tqe_next) {
        isSpliced = isSpliced || containsStatusLine(it->value);
    }
    return isSpliced;
}

} // namespace

HttpResponseFraming checkResponseHead(const evhttp_request &request, const HttpHeaders &headers)
{
    HttpResponseFraming result;
    if (isSplicedHead(request)) {
        result.rejectReason = "response head within a response head";
        return result;
    }
    int lengths = 0;
    int codings = 0;
    bool isValid = true;
    result.isKeepAlive = request.major == 1 && request.minor >= 1;
    for (const HttpHeaders::Field &field : headers.fields()) {
        if (!isHttpToken(field.first) || !isHttpFieldValue(field.second)) {
            result.rejectReason = "malformed header field";
            return result;
        }
        if (equalsIgnoringCase(field.first, "Content-Length")) {
            ++lengths;
            isValid = isValid && parseContentLength(field.second).has_value();
        } else if (equalsIgnoringCase(field.first, "Transfer-Encoding")) {
            ++codings;
            isValid = isValid && equalsIgnoringCase(field.second, "chunked");
        } else if (equalsIgnoringCase(field.first, "Connection")
                   && hasListToken(field.second, "close")) {
            result.isKeepAlive = false;
        }
    }
    if (!isValid || lengths + codings > 1) {
        result.rejectReason = "contradictory or unknown framing of the response";
        return result;
    }
    if (request.type == EVHTTP_REQ_HEAD || request.response_code == NoContent
        || request.response_code == NotModified) {
        result.bodyEnd = BodyEnd::NoBody;
    } else if (codings > 0) {
        result.bodyEnd = BodyEnd::LastChunk;
    } else if (lengths > 0) {
        result.bodyEnd = BodyEnd::ContentLength;
    } else {
        result.bodyEnd = BodyEnd::ConnectionEnd;
        result.isKeepAlive = false;
    }
    return result;
}

} // namespace Tarragon
