#pragma once

#include <event2/util.h>

#include <cstddef>
#include <string>
#include <string_view>

namespace Tarragon {

/// Input of a connection that arrived when the server had ended it, or was about to, and that no
/// handler gets. Keeps its beginning, so that a request in it can be named in the log.
class UnprocessedInput
{
public:
    /// Maximum number of bytes that are kept. The heads of most requests are shorter.
    static constexpr std::size_t MaxKeptBytes = 2'048;

    /// Adds bytes that were read and discarded.
    void add(std::string_view data);
    /// Adds bytes whose content is not known.
    void addSize(std::size_t bytes) { m_size += bytes; }
    /// Adds what waits in the socket, which stays unread.
    void addUnread(evutil_socket_t fd);
    /// Returns the number of bytes.
    std::size_t size() const { return m_size; }
    /// Whether the part that was kept has a complete request head.
    bool hasWholeHead() const;
    /// Returns the value of a field in the first head; empty if the part that was kept has none.
    std::string headerValue(std::string_view field) const;

private:
    std::size_t m_size = 0;
    std::string m_kept;
};

} // namespace Tarragon
