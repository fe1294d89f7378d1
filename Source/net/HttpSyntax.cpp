#include "net/HttpSyntax.h"

#include "base/Error.h"
#include "net/HttpHeaders.h"
#include "net/HttpStatus.h"

#include <event2/http.h>
#include <event2/keyvalq_struct.h>

#include <algorithm>
#include <array>
#include <cstdlib>

#include <strings.h>

namespace Tarragon {

namespace {

constexpr std::array<std::string_view, 7> Methods = { "GET",    "HEAD",    "POST", "PUT",
                                                      "DELETE", "OPTIONS", "PATCH" };

bool isTokenChar(char ch)
{
    static constexpr std::string_view Others = "!#$%&'*+-.^_`|~";
    return (ch >= 'a' && ch <= 'z') || (ch >= 'A' && ch <= 'Z') || (ch >= '0' && ch <= '9')
           || Others.find(ch) != std::string_view::npos;
}

bool isFieldChar(char ch)
{
    return static_cast<unsigned char>(ch) >= 0x20 ? ch != 0x7f : ch == '\t';
}

/// Whether the text is a host with an optional port: a name, an IPv4 address or an IPv6 address in
/// brackets.
bool isHost(std::string_view text)
{
    if (text.empty()) {
        return false;
    }
    std::string_view port;
    if (text.front() == '[') {
        const std::size_t end = text.find(']');
        if (end == std::string_view::npos || end == 1
            || text.substr(1, end - 1).find_first_not_of("0123456789abcdefABCDEF:.")
                       != std::string_view::npos) {
            return false;
        }
        port = text.substr(end + 1);
    } else {
        const std::size_t colon = text.find(':');
        const std::string_view name = text.substr(0, colon);
        if (name.empty() || !std::all_of(name.begin(), name.end(), [](char ch) {
                return isTokenChar(ch) && ch != '%' && ch != '#' && ch != '^' && ch != '`'
                       && ch != '|';
            })) {
            return false;
        }
        port = colon == std::string_view::npos ? std::string_view() : text.substr(colon);
    }
    static constexpr std::size_t MaxPortDigits = 5;
    return port.empty()
           || (port.front() == ':' && port.size() <= MaxPortDigits + 1
               && port.substr(1).find_first_not_of("0123456789") == std::string_view::npos);
}

bool isTarget(std::string_view target)
{
    if (!std::all_of(target.begin(), target.end(),
                     [](char ch) { return ch > 0x20 && ch != 0x7f; })) {
        return false;
    }
    static constexpr std::string_view Scheme = "http://";
    if (target.size() > Scheme.size()
        && equalsIgnoringCase(target.substr(0, Scheme.size()), Scheme)) {
        const std::string_view rest = target.substr(Scheme.size());
        return isHost(rest.substr(0, rest.find_first_of("/?#")));
    }
    return !target.empty() && target.front() == '/';
}

HttpRequestFraming rejected(int status, const char *reason)
{
    HttpRequestFraming framing;
    framing.rejectStatus = status;
    framing.reason = reason;
    return framing;
}

/// Checks the header fields of a request and determines the framing of its body.
struct FieldChecker
{
    /// Number of Host, Content-Length and Transfer-Encoding fields found so far.
    int hosts = 0;
    int lengths = 0;
    int codings = 0;
    HttpRequestFraming framing;

    /// Checks one field. Returns false and sets the rejection in framing if the field is not
    /// acceptable.
    bool check(std::string_view name, std::string_view value);
    bool fail(int status, const char *reason)
    {
        framing = rejected(status, reason);
        return false;
    }
};

bool FieldChecker::check(std::string_view name, std::string_view value)
{
    switch (name.size()) {
    case std::string_view("Host").size():
        if (equalsIgnoringCase(name, "Host")) {
            if (++hosts > 1 || !isHost(value)) {
                return fail(HttpStatus::BadRequest, "malformed or repeated Host");
            }
        }
        break;
    case std::string_view("Expect").size():
        if (equalsIgnoringCase(name, "Expect") && !equalsIgnoringCase(value, "100-continue")) {
            return fail(HttpStatus::ExpectationFailed, "unknown expectation");
        }
        break;
    case std::string_view("Content-Length").size():
        if (equalsIgnoringCase(name, "Content-Length")) {
            const std::optional<std::uint64_t> length = parseContentLength(value);
            if (!length.has_value() || ++lengths > 1) {
                return fail(HttpStatus::BadRequest, "malformed or repeated Content-Length");
            }
            framing.contentLength = *length;
        }
        break;
    case std::string_view("Transfer-Encoding").size():
        if (equalsIgnoringCase(name, "Transfer-Encoding")) {
            if (++codings > 1) {
                return fail(HttpStatus::BadRequest, "repeated Transfer-Encoding");
            }
            if (!equalsIgnoringCase(value, "chunked")) {
                return fail(HttpStatus::NotImplemented, "transfer coding other than chunked");
            }
            framing.chunked = true;
        }
        break;
    default:
        break;
    }
    return true;
}

} // namespace

bool isConnectionHeader(std::string_view name)
{
    static constexpr std::array<std::string_view, 10> Names = {
        "Connection", "Keep-Alive",        "Proxy-Connection", "Proxy-Authenticate",
        "Te",         "Trailer",           "Upgrade",          "Proxy-Authorization",
        "Expect",     "Transfer-Encoding",
    };
    return std::any_of(Names.begin(), Names.end(),
                       [name](std::string_view it) { return equalsIgnoringCase(name, it); });
}

std::string_view trimmed(std::string_view text)
{
    const std::size_t first = text.find_first_not_of(" \t");
    if (first == std::string_view::npos) {
        return {};
    }
    return text.substr(first, text.find_last_not_of(" \t") - first + 1);
}

bool isHttpToken(std::string_view text)
{
    return !text.empty() && std::all_of(text.begin(), text.end(), isTokenChar);
}

bool isHttpFieldValue(std::string_view text)
{
    return std::all_of(text.begin(), text.end(), isFieldChar);
}

std::optional<std::uint64_t> parseContentLength(std::string_view text)
{
    static constexpr std::size_t MaxDigits = 18;
    if (text.empty() || text.size() > MaxDigits
        || text.find_first_not_of("0123456789") != std::string_view::npos) {
        return std::nullopt;
    }
    std::uint64_t value = 0;
    for (const char ch : text) {
        value = value * 10 + std::uint64_t(ch - '0');
    }
    return value;
}

bool hasListToken(std::string_view value, std::string_view token)
{
    while (!value.empty()) {
        const std::size_t comma = value.find(',');
        if (equalsIgnoringCase(trimmed(value.substr(0, comma)), token)) {
            return true;
        }
        value = comma == std::string_view::npos ? std::string_view() : value.substr(comma + 1);
    }
    return false;
}

bool equalsIgnoringCase(std::string_view a, std::string_view b)
{
    return a.size() == b.size() && strncasecmp(a.data(), b.data(), a.size()) == 0;
}

std::string percentDecoded(std::string_view text)
{
    std::size_t length = 0;
    char *decoded = evhttp_uridecode(std::string(text).c_str(), 1, &length);
    if (decoded == nullptr) {
        return {};
    }
    std::string result(decoded, length);
    std::free(decoded);
    return result;
}

HttpHeaders copyHeaders(const evkeyvalq *fields)
{
    HttpHeaders headers;
    for (const evkeyval *it = fields->tqh_first; it != nullptr; it = it->next.tqe_next) {
        headers.add(it->key, it->value);
    }
    return headers;
}

void checkHeaders(const HttpHeaders &headers)
{
    for (const HttpHeaders::Field &field : headers.fields()) {
        if (!isHttpToken(field.first)) {
            throw Error("HTTP field name is \"" + field.first + "\", expected a token");
        }
        if (!isHttpFieldValue(field.second)) {
            throw Error("HTTP field " + field.first
                        + " has a control character, expected printable text");
        }
    }
}

HttpRequestFraming checkRequestHead(std::string_view head, ByteCount maxBody)
{
    static constexpr std::string_view LineEnd = "\r\n";
    std::size_t end = head.find(LineEnd);
    const std::string_view line = head.substr(0, end);
    const std::size_t methodEnd = line.find(' ');
    const std::size_t targetEnd = line.rfind(' ');
    if (methodEnd == std::string_view::npos || targetEnd <= methodEnd) {
        return rejected(HttpStatus::BadRequest, "malformed request line");
    }
    const std::string_view method = line.substr(0, methodEnd);
    const std::string_view target = line.substr(methodEnd + 1, targetEnd - methodEnd - 1);
    const std::string_view version = line.substr(targetEnd + 1);
    if (!isHttpToken(method) || !isTarget(target)) {
        return rejected(HttpStatus::BadRequest, "malformed method or target");
    }
    if (version != "HTTP/1.1" && version != "HTTP/1.0") {
        return rejected(version.starts_with("HTTP/") ? HttpStatus::VersionNotSupported
                                                     : HttpStatus::BadRequest,
                        "unsupported version of HTTP");
    }
    if (std::find(Methods.begin(), Methods.end(), method) == Methods.end()) {
        return rejected(HttpStatus::NotImplemented, "unknown method");
    }
    FieldChecker checker;
    std::string_view rest = head.substr(end + LineEnd.size());
    while ((end = rest.find(LineEnd)) != 0) {
        const std::string_view field = rest.substr(0, end);
        const std::size_t colon = field.find(':');
        if (colon == std::string_view::npos || !isHttpToken(field.substr(0, colon))) {
            return rejected(HttpStatus::BadRequest, "malformed field name");
        }
        const std::string_view value = trimmed(field.substr(colon + 1));
        if (!isHttpFieldValue(value)) {
            return rejected(HttpStatus::BadRequest, "control character in a field value");
        }
        if (!checker.check(field.substr(0, colon), value)) {
            return checker.framing;
        }
        rest.remove_prefix(end + LineEnd.size());
    }
    const HttpRequestFraming &framing = checker.framing;
    if (checker.hosts == 0 && version == "HTTP/1.1") {
        return rejected(HttpStatus::BadRequest, "no Host");
    }
    if (framing.chunked && (checker.lengths > 0 || version == "HTTP/1.0")) {
        return rejected(HttpStatus::BadRequest,
                        "Transfer-Encoding with Content-Length or HTTP/1.0");
    }
    const bool mayHaveBody = method == "POST" || method == "PUT" || method == "PATCH";
    if (!mayHaveBody && (framing.chunked || framing.contentLength > 0)) {
        return rejected(HttpStatus::BadRequest, "body with a method that has none");
    }
    if (framing.contentLength > maxBody.value) {
        return rejected(HttpStatus::ContentTooLarge, "body above the limit");
    }
    return framing;
}

} // namespace Tarragon
