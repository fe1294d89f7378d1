#pragma once

#include "platform/ObjectStore.h"

#include <cstddef>
#include <cstdint>
#include <deque>
#include <optional>
#include <string>
#include <vector>

namespace Tarragon {

/// Summary of a list of all objects of a kind. A log that starts from the list uses it to recognise
/// neighbours whose older list has the same content.
struct ListSummary
{
    StoreRevision revision;
    std::size_t count = 0;
    /// Greatest revision of any object in the list.
    StoreRevision newestRevision;
};

/// A change of one object, as it is relayed to neighbours.
struct LoggedChange
{
    std::string name;
    /// Revision in the object's metadata. A removal shows the revision of the object before it was
    /// removed.
    StoreRevision revision;
    bool isRemoval = false;
    /// The object's specification as JSON text; empty for a removal.
    std::string spec;
    /// Revision of the watch result that contained the change.
    StoreRevision pageRevision;
    /// Whether `revision` is the revision of this change itself. False for removals and other
    /// changes that show an older revision, and for all changes of a result that is not sorted by
    /// revision.
    bool hasOwnRevision = false;
};

/// Limits on the changes that are relayed to a neighbour.
struct DeltaLimits
{
    /// Maximum bytes of names and specifications in one reply.
    std::size_t maxReplyBytes = 0;
    /// Maximum number of replies in which a neighbour may catch up. A neighbour that would need
    /// more reads the store instead.
    std::size_t maxReplies = 0;
};

/// Changes since a neighbour's revision, in the order in which the store reported them.
struct ChangeDelta
{
    /// Revision that the neighbour has reached after applying the changes.
    StoreRevision revision;
    /// Whether the delta contains all changes up to the end of the log. Otherwise the changes after
    /// `revision` follow in the next reply.
    bool isComplete = false;
    /// Pointers into the log; valid until the log changes.
    std::vector<const LoggedChange *> changes;
};

/// Log of the latest changes of the objects of one kind. An entry that watches the store keeps it
/// and relays changes from it, so that its neighbours need not watch the store themselves. The log
/// contains all changes after a first revision up to a last revision.
class ChangeLog
{
public:
    /// Maximum number of changes in the log; about as many as a release of all targets of a large
    /// deployment causes.
    static constexpr std::size_t MaxChanges = 4'000;
    /// Maximum bytes of names and specifications in the log. Neighbours that would need as much
    /// read the store instead.
    static constexpr std::size_t MaxBytes = 2 * 1024 * 1024;
    /// Clears the log and starts it at the given revision. The list is remembered only if it was
    /// read at exactly this revision, that is, if nothing has changed since it was read.
    void reset(const StoreRevision &revision,
               const std::optional<ListSummary> &list = std::nullopt);
    /// Appends the changes of a watch result and advances the last revision to that of the result.
    /// Ignores results that are older than the log's last revision or of another era.
    void add(const Platform::ChangePage &page);
    /// Returns the changes after the given revision. The result may repeat changes that the
    /// neighbour already has. If all changes together exceed the limit of one reply, returns the
    /// first of them. Returns nothing if the log does not reach back to the revision, is of another
    /// era, or if the changes exceed the limit of all replies. `listed` is the number of objects in
    /// the neighbour's list if that list is unchanged. A list that is older than the log is
    /// accepted if it has as many objects as the list at the start of the log and no object of the
    /// latter is newer than the neighbour's revision: then nothing was added, changed or removed
    /// between the two lists.
    std::optional<ChangeDelta> since(const StoreRevision &revision,
                                     const std::optional<std::size_t> &listed,
                                     const DeltaLimits &limits) const;

private:
    using Position = std::deque<LoggedChange>::const_iterator;

    /// Returns the first change that a neighbour at the given revision may lack.
    Position firstAfter(const StoreRevision &revision) const;

    /// Discards the oldest watch result that the log contains.
    void discardOldest();

    std::deque<LoggedChange> m_changes;
    /// Bytes of names and specifications in m_changes.
    std::size_t m_bytes = 0;
    /// The log contains the changes after the first revision up to and including the last one. Both
    /// are unknown before the first call of reset().
    StoreRevision m_firstRevision;
    StoreRevision m_lastRevision;
    std::optional<ListSummary> m_list;
};

} // namespace Tarragon
