#pragma once

#include "base/Units.h"

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

struct evkeyvalq;

namespace Tarragon {

class HttpHeaders;

/// Whether the text is a token of RFC 9110, such as a field name.
bool isHttpToken(std::string_view text);
/// Whether the text may be a field value: no control characters but the horizontal tab.
bool isHttpFieldValue(std::string_view text);
/// A Content-Length; nothing unless it is made of 1 to 18 digits.
std::optional<std::uint64_t> parseContentLength(std::string_view text);
/// Whether a comma-separated field value holds the token, without regard to case.
bool hasListToken(std::string_view value, std::string_view token);
/// Whether two texts are equal without regard to case.
bool equalsIgnoringCase(std::string_view a, std::string_view b);
/// Whether a header field concerns one connection only and is not passed on.
bool isConnectionHeader(std::string_view name);
/// Text without the blanks around it.
std::string_view trimmed(std::string_view text);
/// Decodes percent-encoded octets and plus signs of a query; others stay as they are.
std::string percentDecoded(std::string_view text);
/// Copies evhttp's fields.
HttpHeaders copyHeaders(const evkeyvalq *fields);
/// Throws Error if a field's name or value could break the message.
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

/// Checks the head of a request: request line and fields with the empty line at their end. evhttp
/// accepts several heads that other servers read differently, so that they could smuggle a
/// request.
HttpRequestFraming checkRequestHead(std::string_view head, ByteCount maxBody);

} // namespace Tarragon
