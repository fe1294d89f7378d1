#pragma once

#include "net/UnprocessedInput.h"

#include <event2/util.h>
#include <sigc++/sigc++.h>

#include <cstddef>
#include <memory>
#include <optional>
#include <string_view>

struct event;
struct event_base;

namespace Tarragon {

/// Whether more input can arrive on a connection.
enum class InputState {
    Open,
    /// The peer has ended its stream; it may still read.
    Ended,
    /// Input has arrived that must not be read.
    Refused,
    /// Neither direction works any more.
    Broken,
};

/// What is done with input that arrives while the connection ends.
enum class FurtherInput {
    /// It is read and discarded.
    Discard,
    /// It stays unread, so that the close resets the connection. The peer can tell by that that
    /// none of it was processed.
    Refuse,
};

/// Result of reading and discarding input.
struct DiscardedInput
{
    std::size_t bytes = 0;
    InputState state = InputState::Open;
};

/// Operations on a TCP socket whose connection is ending. Does not own the descriptor, which must
/// stay open for as long as events are watched.
class LingeringSocket
{
public:
    /// Adds what is discarded to the given input, which must outlive the object; null for input
    /// that belongs to a request with a response.
    LingeringSocket(event_base *base, evutil_socket_t fd, FurtherInput furtherInput,
                    UnprocessedInput *discarded = nullptr);
    ~LingeringSocket();
    LingeringSocket(LingeringSocket &&other) noexcept;
    LingeringSocket &operator=(LingeringSocket &&) = delete;

    /// Returns how many of the bytes were written, as far as they fit at present; nothing if the
    /// connection is broken.
    std::optional<std::size_t> write(std::string_view data);
    /// Reads at most the given number of bytes, or none if input is refused.
    DiscardedInput discard(std::size_t size);
    std::optional<std::size_t> unacknowledgedBytes() const;
    /// Whether the peer has reset the connection, or both directions have ended.
    bool isDisconnected() const;
    void shutdownSending();
    /// Calls the slot when the socket can be read or written, until the next call of watch().
    void watch(bool reads, bool writes, const sigc::slot<void()> &callback);

private:
    static void onReady(evutil_socket_t fd, short what, void *arg);

    event_base *m_base;
    evutil_socket_t m_fd;
    FurtherInput m_furtherInput;
    UnprocessedInput *m_discarded;
    event *m_event = nullptr;
    short m_watched = 0;
    sigc::slot<void()> m_callback;
};

} // namespace Tarragon
