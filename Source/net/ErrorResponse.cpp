#include "net/ErrorResponse.h"

#include "net/HttpStatus.h"

namespace Tarragon {

namespace {

std::string_view reasonPhrase(int status)
{
    switch (status) {
    case HttpStatus::RequestTimeout:
        return "Request Timeout";
    case HttpStatus::ContentTooLarge:
        return "Content Too Large";
    case 417:
        return "Expectation Failed";
    case HttpStatus::HeaderFieldsTooLarge:
        return "Request Header Fields Too Large";
    case 501:
        return "Not Implemented";
    case HttpStatus::ServiceUnavailable:
        return "Service Unavailable";
    case 505:
        return "HTTP Version Not Supported";
    default:
        return "Bad Request";
    }
}

} // namespace

std::string errorResponse(int status, std::string_view reason, std::string_view fields)
{
    const std::string body = std::string(reason) + "\n";
    std::string text = "HTTP/1.1 " + std::to_string(status) + " ";
    text.append(reasonPhrase(status)).append("\r\nContent-Type: text/plain\r\nContent-Length: ");
    text.append(std::to_string(body.size())).append("\r\nConnection: close\r\n");
    return text.append(fields).append("\r\n").append(body);
}

} // namespace Tarragon
