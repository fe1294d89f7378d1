#pragma once

#include "platform/ObjectStore.h"
#include "routing/TargetRegistry.h"

#include <vector>

namespace Tarragon {

/// Replaces the targets of the registry by the registrations in the store. A registration that
/// cannot be read names no usable target: it is logged and left out, and the others apply.
void applyTargetSnapshot(TargetRegistry &registry, const std::vector<Platform::StoredItem> &items,
                         MonotonicTime now);
/// Applies changes of registrations in the store. A registration that cannot be read any more is
/// logged and removed, and the others apply.
void applyTargetChanges(TargetRegistry &registry,
                        const std::vector<Platform::StoredChange> &changes, MonotonicTime now);

} // namespace Tarragon
