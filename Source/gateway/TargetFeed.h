#pragma once

#include "platform/ObjectStore.h"
#include "routing/TargetRegistry.h"

#include <optional>
#include <vector>

namespace Tarragon {

/// Replaces the targets of the registry by the registrations in the store. A registration that
/// cannot be read names no usable target: it is logged and left out, and the others apply.
/// `madeAfter` is a time before all changes since the last update, nothing if it is unknown.
/// `isRestored` states that it is the first snapshot after the store was restored from a copy.
void applyTargetSnapshot(TargetRegistry &registry, const std::vector<Platform::StoredItem> &items,
                         MonotonicTime now, const std::optional<MonotonicTime> &madeAfter,
                         bool isRestored);
/// Applies changes of registrations in the store. A registration that cannot be read any more is
/// logged and removed, and the others apply.
void applyTargetChanges(TargetRegistry &registry,
                        const std::vector<Platform::StoredChange> &changes, MonotonicTime now,
                        const std::optional<MonotonicTime> &madeAfter);

} // namespace Tarragon
