#pragma once

#include "base/Units.h"

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

struct evkeyvalq;

namespace Tarragon {

class HttpHeaders;

/// Whether the text is a token as defined by RFC 9110, such as a field name.
bool isHttpToken(std::string_view text);
/// Whether the text is a valid field value: no control characters except the horizontal tab.
bool isHttpFieldValue(std::string_view text);
/// Parses a Content-Length; returns nothing unless the text consists of 1 to 18 digits.
std::optional<std::uint64_t> parseContentLength(std::string_view text);
/// Whether a comma-separated field value contains the token, ignoring case.
bool hasListToken(std::string_view value, std::string_view token);
/// Whether two texts are equal, ignoring case.
bool equalsIgnoringCase(std::string_view a, std::string_view b);
/// Whether a header field is a hop-by-hop field, which must not be forwarded.
bool isConnectionHeader(std::string_view name);
/// Returns the text without leading and trailing spaces and tabs.
std::string_view trimmed(std::string_view text);
/// Decodes percent-encoded octets of a query, and plus signs as spaces; other characters are kept.
std::string percentDecoded(std::string_view text);
/// Converts evhttp's header fields to HttpHeaders.
HttpHeaders copyHeaders(const evkeyvalq *fields);
/// Throws Error if a field's name or value has characters that would corrupt the message.
void checkHeaders(const HttpHeaders &headers);

/// How the body of a request is delimited, or why the request is rejected.
struct HttpRequestFraming
{
    /// Status of the rejection; 0 if the request is acceptable.
    int rejectStatus = 0;
    const char *reason = "";
    bool chunked = false;
    std::uint64_t contentLength = 0;
};

/// Checks the head of a request: request line and header fields, including the empty line at the
/// end. evhttp accepts several malformed heads that other servers interpret differently, which
/// would permit request smuggling.
HttpRequestFraming checkRequestHead(std::string_view head, ByteCount maxBody);

} // namespace Tarragon
