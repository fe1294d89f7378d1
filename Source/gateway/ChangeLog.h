#pragma once

#include "platform/ObjectStore.h"

#include <cstddef>
#include <cstdint>
#include <deque>
#include <optional>

namespace Tarragon {

/// The latest changes of one kind, kept by an entry that watches the store so that its neighbours
/// need not. Holds all changes between a first and a last revision.
class ChangeLog
{
public:
    /// Changes that are kept; about a release of all targets of a large deployment.
    static constexpr std::size_t MaxChanges = 4'000;

    /// Begins anew behind the revision.
    void begin(std::uint64_t revision);
    /// Adds the changes up to the page's revision.
    void add(const Platform::ChangePage &page);
    /// The changes behind a revision, some before it among them; nothing if they are not all there.
    std::optional<Platform::ChangePage> since(std::uint64_t revision) const;

private:
    std::deque<Platform::ChangePage> m_pages;
    std::size_t m_changes = 0;
    /// Changes behind the first revision and up to the last one are known; 0 before begin().
    std::uint64_t m_first = 0;
    std::uint64_t m_last = 0;
};

} // namespace Tarragon
