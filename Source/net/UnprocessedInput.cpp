#include "net/UnprocessedInput.h"

#include "net/HttpSyntax.h"
#include "net/SocketQueues.h"

#include <algorithm>
#include <array>

#include <sys/socket.h>

namespace Tarragon {

namespace {

constexpr std::string_view LineEnd = "\r\n";
constexpr std::string_view HeadEnd = "\r\n\r\n";

} // namespace

void UnprocessedInput::add(std::string_view data)
{
    m_size += data.size();
    m_kept.append(data.substr(0, MaxKeptBytes - m_kept.size()));
}

void UnprocessedInput::addUnread(evutil_socket_t fd)
{
    const std::size_t unread = unreadBytes(fd).value_or(0);
    if (unread == 0) {
        return;
    }
    std::array<char, MaxKeptBytes> buf;
    const ssize_t n = recv(fd, buf.data(), buf.size(), MSG_PEEK | MSG_DONTWAIT);
    const std::size_t seen = n > 0 ? std::size_t(n) : 0;
    add(std::string_view(buf.data(), seen));
    m_size += unread - std::min(unread, seen);
}

bool UnprocessedInput::hasWholeHead() const
{
    return m_kept.find(HeadEnd) != std::string::npos;
}

std::string UnprocessedInput::headerValue(std::string_view field) const
{
    const std::string_view head = std::string_view(m_kept).substr(0, m_kept.find(HeadEnd));
    std::size_t lineStart = head.find(LineEnd);
    while (lineStart != std::string_view::npos) {
        lineStart += LineEnd.size();
        const std::size_t lineEnd = head.find(LineEnd, lineStart);
        const std::string_view line = head.substr(lineStart, lineEnd - lineStart);
        const std::size_t colon = line.find(':');
        if (colon != std::string_view::npos && equalsIgnoringCase(line.substr(0, colon), field)) {
            return std::string(trimmed(line.substr(colon + 1)));
        }
        lineStart = lineEnd;
    }
    return {};
}

} // namespace Tarragon
