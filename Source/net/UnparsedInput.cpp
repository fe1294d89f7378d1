#include "net/UnparsedInput.h"

#include <event2/buffer.h>

#include <algorithm>
#include <array>
#include <utility>

namespace Tarragon {

namespace {

/// Input up to this size is copied. A buffer that were moved instead would keep its unused part,
/// so that a client that sends single bytes could make the process hold a thousand times as much.
constexpr std::size_t MaxCopiedInputBytes = 4'096;

constexpr std::string_view HeadEnd = "\r\n\r\n";

} // namespace

UnparsedInput::UnparsedInput(SizeSlot sizeChanged)
    : m_sizeChanged(std::move(sizeChanged))
    , m_buffer(evbuffer_new())
{
    evbuffer_add_cb(m_buffer, onChanged, this);
}

UnparsedInput::~UnparsedInput()
{
    evbuffer_remove_cb(m_buffer, onChanged, this);
    evbuffer_free(m_buffer);
}

void UnparsedInput::onChanged(evbuffer *, const evbuffer_cb_info *info, void *arg)
{
    static_cast<UnparsedInput *>(arg)->m_sizeChanged(info->n_added, info->n_deleted);
}

std::size_t UnparsedInput::size() const
{
    return evbuffer_get_length(m_buffer);
}

void UnparsedInput::append(evbuffer *input)
{
    std::array<char, MaxCopiedInputBytes> copy;
    if (evbuffer_get_length(input) > copy.size()) {
        evbuffer_add_buffer(m_buffer, input);
        return;
    }
    const int n = evbuffer_remove(input, copy.data(), copy.size());
    if (n > 0) {
        evbuffer_add(m_buffer, copy.data(), std::size_t(n));
    }
}

void UnparsedInput::prepend(std::string_view text)
{
    evbuffer_prepend(m_buffer, text.data(), text.size());
}

std::string_view UnparsedInput::front(std::size_t n)
{
    return { reinterpret_cast<const char *>(evbuffer_pullup(m_buffer, ev_ssize_t(n))), n };
}

void UnparsedInput::removeFront(std::size_t n)
{
    evbuffer_drain(m_buffer, n);
}

void UnparsedInput::skipEmptyLines()
{
    std::array<char, 2> start{};
    while (m_searchedBytes == 0 && evbuffer_copyout(m_buffer, start.data(), start.size()) == 2
           && start[0] == '\r' && start[1] == '\n') {
        removeFront(start.size());
        m_hasPartialHead = false;
    }
}

RequestHeadExtent UnparsedInput::findHead()
{
    evbuffer_ptr from{};
    evbuffer_ptr_set(m_buffer, &from, m_searchedBytes, EVBUFFER_PTR_SET);
    const evbuffer_ptr found = evbuffer_search(m_buffer, HeadEnd.data(), HeadEnd.size(), &from);
    if (found.pos >= 0) {
        restartSearch();
        return { std::size_t(found.pos) + HeadEnd.size(), true };
    }
    const std::size_t length = size();
    m_searchedBytes = length - std::min(length, HeadEnd.size() - 1);
    m_hasPartialHead = length > 0;
    return { length, false };
}

void UnparsedInput::restartSearch()
{
    m_searchedBytes = 0;
    m_hasPartialHead = false;
}

} // namespace Tarragon
