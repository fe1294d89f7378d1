#pragma once

/// HTTP status codes, named as in RFC 9110 and RFC 6585.
namespace Tarragon::HttpStatus {

inline constexpr int Ok = 200;
inline constexpr int BadRequest = 400;
inline constexpr int Unauthorized = 401;
inline constexpr int NotFound = 404;
inline constexpr int MethodNotAllowed = 405;
inline constexpr int RequestTimeout = 408;
inline constexpr int Conflict = 409;
inline constexpr int Gone = 410;
inline constexpr int ContentTooLarge = 413;
inline constexpr int ExpectationFailed = 417;
inline constexpr int MisdirectedRequest = 421;
inline constexpr int TooManyRequests = 429;
inline constexpr int HeaderFieldsTooLarge = 431;
inline constexpr int NotImplemented = 501;
inline constexpr int BadGateway = 502;
inline constexpr int ServiceUnavailable = 503;
inline constexpr int GatewayTimeout = 504;
inline constexpr int VersionNotSupported = 505;

constexpr bool isSuccess(int status)
{
    return status >= 200 && status < 300;
}

constexpr bool isServerError(int status)
{
    return status >= 500;
}

} // namespace Tarragon::HttpStatus
