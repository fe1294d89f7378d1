#pragma once

#include "net/MemoryBudget.h"

#include <cstddef>
#include <memory>
#include <string_view>

struct evbuffer;

namespace Tarragon {

/// The body of a request, stored once and shared by the exchange and the calls that send it. Its
/// bytes are contiguous and count towards a budget. Large bodies are in memory mappings of their
/// own, which grow without a copy and return their memory to the system.
class RequestBody
{
public:
    explicit RequestBody(MemoryBudget &budget)
        : m_budget(budget)
    {}
    ~RequestBody();
    RequestBody(const RequestBody &) = delete;
    RequestBody &operator=(const RequestBody &) = delete;

    /// Throws std::bad_alloc if the system grants no memory; the body is then unchanged.
    void append(std::string_view data);
    std::string_view view() const { return { m_data, m_size }; }
    std::size_t size() const { return m_size; }

private:
    void reserve(std::size_t capacity);
    bool isMapped() const { return m_capacity > MemoryBudget::SmallBodyBytes; }

    MemoryBudget &m_budget;
    char *m_data = nullptr;
    std::size_t m_size = 0;
    std::size_t m_capacity = 0;
};

/// Appends the body to the buffer without a copy; the body is kept until the buffer has released
/// it.
void addBodyReference(evbuffer *buffer, const std::shared_ptr<const RequestBody> &body);

} // namespace Tarragon
