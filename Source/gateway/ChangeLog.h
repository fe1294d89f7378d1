#pragma once

#include "platform/ObjectStore.h"

#include <cstddef>
#include <cstdint>
#include <deque>
#include <optional>
#include <string>
#include <vector>

namespace Tarragon {

/// What a list of a kind says of changes before it.
struct ListedState
{
    std::uint64_t revision = 0;
    std::size_t count = 0;
    /// Greatest revision of any object in it.
    std::uint64_t newest = 0;
};

/// A change as it is told to neighbours.
struct LoggedChange
{
    std::string name;
    /// Revision that the object shows.
    std::uint64_t revision = 0;
    bool isRemoval = false;
    /// The object's JSON text; empty for a removal.
    std::string spec;
    /// Revision of the answer that brought the change.
    std::uint64_t pageRevision = 0;
    /// Whether the object's revision is that of this change; removals show an older one.
    bool isPlaced = false;
};

/// How much a neighbour is told.
struct NewsLimits
{
    /// Bytes of names and specs in one answer.
    std::size_t bytes = 0;
    /// Answers in which a neighbour may catch up. One that is further behind reads the store.
    std::size_t answers = 0;
};

/// Changes for a neighbour, in their order.
struct ChangeNews
{
    /// Up to which the changes go.
    std::uint64_t revision = 0;
    /// Whether nothing more is known.
    bool isComplete = false;
    /// Valid until the log changes.
    std::vector<const LoggedChange *> changes;
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
    /// The changes behind a revision, some before it among them; the first of them if all are
    /// longer than an answer; nothing if they are not all there or too long. Somebody who has
    /// listed as many objects at an older revision as there were at the log's begin, none of them
    /// newer, has missed nothing before that.
    std::optional<ChangeNews> since(std::uint64_t revision,
                                    const std::optional<std::size_t> &listed,
                                    const NewsLimits &limits) const;

private:
    using Position = std::deque<LoggedChange>::const_iterator;

    /// The first change that somebody at the revision may lack.
    Position firstBehind(std::uint64_t revision) const;

    std::deque<LoggedChange> m_changes;
    /// Changes behind the first revision and up to the last one are known; 0 before begin().
    std::uint64_t m_first = 0;
    std::uint64_t m_last = 0;
    std::optional<ListedState> m_list;
};

} // namespace Tarragon
