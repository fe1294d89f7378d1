#include "net/RequestBody.h"

#include <event2/buffer.h>

#include <algorithm>
#include <cstdlib>
#include <cstring>
#include <new>

#include <sys/mman.h>

namespace Tarragon {

namespace {

constexpr std::size_t MinCapacity = 512;
/// First size of a memory mapping, a multiple of every page size.
constexpr std::size_t MinMappedBytes = 65'536;

} // namespace

RequestBody::~RequestBody()
{
    m_budget.remove(m_size);
    if (isMapped()) {
        munmap(m_data, m_capacity);
    } else {
        std::free(m_data);
    }
}

void RequestBody::append(std::string_view data)
{
    if (data.empty()) {
        return;
    }
    if (m_size + data.size() > m_capacity) {
        reserve(std::max({ m_size + data.size(), m_capacity * 2, MinCapacity }));
    }
    std::memcpy(m_data + m_size, data.data(), data.size());
    m_size += data.size();
    m_budget.add(data.size());
}

void RequestBody::reserve(std::size_t capacity)
{
    void *memory = nullptr;
    if (capacity <= MemoryBudget::SmallBodyBytes) {
        memory = std::realloc(m_data, capacity);
        if (memory == nullptr) {
            throw std::bad_alloc();
        }
        m_data = static_cast<char *>(memory);
        m_capacity = capacity;
        return;
    }
    // Pages of a mapping need memory only once they are written to.
    capacity = (capacity + MinMappedBytes - 1) / MinMappedBytes * MinMappedBytes;
    if (isMapped()) {
        memory = mremap(m_data, m_capacity, capacity, MREMAP_MAYMOVE);
    } else {
        memory = mmap(nullptr, capacity, PROT_READ | PROT_WRITE,
                      MAP_PRIVATE | MAP_ANONYMOUS | MAP_NORESERVE, -1, 0);
    }
    if (memory == MAP_FAILED) {
        throw std::bad_alloc();
    }
    if (!isMapped() && m_data != nullptr) {
        std::memcpy(memory, m_data, m_size);
        std::free(m_data);
    }
    // A huge page would need its memory at the first write.
    madvise(memory, capacity, MADV_NOHUGEPAGE);
    m_data = static_cast<char *>(memory);
    m_capacity = capacity;
}

void addBodyReference(evbuffer *buffer, const std::shared_ptr<const RequestBody> &body)
{
    using Holder = std::shared_ptr<const RequestBody>;
    const auto release = [](const void *, std::size_t, void *arg) {
        delete static_cast<Holder *>(arg);
    };
    std::unique_ptr<Holder> holder = std::make_unique<Holder>(body);
    if (evbuffer_add_reference(buffer, body->view().data(), body->size(), release, holder.get())
        == 0) {
        static_cast<void>(holder.release());
    }
}

} // namespace Tarragon
