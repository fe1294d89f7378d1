#pragma once

#include "platform/ObjectStore.h"

#include <cstddef>
#include <cstdint>
#include <deque>
#include <optional>

namespace Tarragon {

/// What a list of a kind says of changes before it.
struct ListedState
{
    std::uint64_t revision = 0;
    std::size_t count = 0;
    /// Greatest revision of any object in it.
    std::uint64_t newest = 0;
};

/// The latest changes of one kind, kept by an entry that watches the store so that its neighbours
/// need not. Holds all changes between a first and a last revision.
class ChangeLog
{
public:
    /// Changes that are kept; about a release of all targets of a large deployment.
    static constexpr std::size_t MaxChanges = 4'000;

    /// Begins anew behind the revision; with the list, if nothing has changed since that.
    void begin(std::uint64_t revision, const std::optional<ListedState> &list = std::nullopt);
    /// Adds the changes up to the page's revision.
    void add(const Platform::ChangePage &page);
    /// The changes behind a revision, some before it among them; nothing if they are not all there.
    /// Somebody who has listed as many objects at an older revision as there were at the log's
    /// begin, none of them newer, has missed nothing before that.
    std::optional<Platform::ChangePage>
    since(std::uint64_t revision, const std::optional<std::size_t> &listed = std::nullopt) const;

private:
    std::deque<Platform::ChangePage> m_pages;
    std::size_t m_changes = 0;
    /// Changes behind the first revision and up to the last one are known; 0 before begin().
    std::uint64_t m_first = 0;
    std::uint64_t m_last = 0;
    std::optional<ListedState> m_list;
};

} // namespace Tarragon
