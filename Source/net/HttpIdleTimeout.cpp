#include "net/HttpIdleTimeout.h"

#include "net/HttpSyntax.h"

#include <algorithm>
#include <optional>
#include <string>
#include <string_view>

namespace Tarragon {

namespace {

/// Shorter than the idle timeout of servers (HttpServerLimits), so that a call seldom reuses a
/// connection that the server is just closing.
constexpr seconds MaxIdleTime{ 10 };
/// If the peer states its idle timeout, the connection is closed this much earlier, because a
/// request sent later could arrive after the peer has closed the connection.
constexpr milliseconds IdleMargin{ 1'000 };
constexpr milliseconds MinIdleTime{ 200 };

} // namespace

microseconds idleTimeoutOf(const HttpHeaders &headers)
{
    static constexpr std::string_view Key = "timeout=";
    const std::string value = headers.find("Keep-Alive").value_or("");
    const std::size_t position = value.find(Key);
    if (position == std::string::npos) {
        return MaxIdleTime;
    }
    const std::optional<std::uint64_t> stated = parseContentLength(
            value.substr(position + Key.size(), value.find(',', position) - position - Key.size()));
    if (!stated.has_value()) {
        return MaxIdleTime;
    }
    const seconds limit(std::min<std::uint64_t>(*stated, MaxIdleTime.count() * 10));
    return std::clamp<microseconds>(limit - IdleMargin, MinIdleTime, MaxIdleTime);
}

} // namespace Tarragon
