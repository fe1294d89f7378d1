#pragma once

#include <sigc++/sigc++.h>

#include <cstddef>
#include <string_view>

struct evbuffer;
struct evbuffer_cb_info;

namespace Tarragon {

/// Start of the input up to the end of a request head.
struct RequestHeadExtent
{
    /// Length of the head, or of all input if the head is not complete.
    std::size_t length = 0;
    bool isComplete = false;
};

/// Input of a connection of an HttpServer that has not been parsed, in the order of its arrival.
class UnparsedInput
{
public:
    /// Receives the numbers of bytes that were added and removed.
    using SizeSlot = sigc::slot<void(std::size_t added, std::size_t removed)>;

    explicit UnparsedInput(SizeSlot sizeChanged);
    ~UnparsedInput();
    UnparsedInput(const UnparsedInput &) = delete;
    UnparsedInput &operator=(const UnparsedInput &) = delete;

    /// Returns the buffer with the input. Its start may be removed.
    evbuffer *buffer() const { return m_buffer; }
    std::size_t size() const;
    /// Appends the contents of another buffer, which is empty afterwards.
    void append(evbuffer *input);
    void prepend(std::string_view text);
    /// Returns the first n bytes, which must exist. The result is valid until the buffer changes.
    std::string_view front(std::size_t n);
    void removeFront(std::size_t n);
    void clear() { removeFront(size()); }
    /// Removes empty lines before a request head.
    void skipEmptyLines();
    /// Searches for the end of the request head that the input starts with. A further search goes
    /// on where this one has ended.
    RequestHeadExtent findHead();
    /// Makes the next search start at the first byte.
    void restartSearch();
    /// Whether the last search found the start of a head without its end.
    bool hasPartialHead() const { return m_hasPartialHead; }

private:
    static void onChanged(evbuffer *buffer, const evbuffer_cb_info *info, void *arg);

    SizeSlot m_sizeChanged;
    evbuffer *m_buffer;
    /// Number of bytes that were searched for the end of the head without success.
    std::size_t m_searchedBytes = 0;
    bool m_hasPartialHead = false;
};

} // namespace Tarragon
