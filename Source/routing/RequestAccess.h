#pragma once

#include "routing/RouteTable.h"

#include <optional>

namespace Tarragon {

/// Whether a request may be handled at all.
enum class AccessVerdict {
    Allowed,
    /// The route needs the key of a workspace, and the request states none that is known.
    UnknownKey,
    /// No region is allowed both by the route and by the workspace.
    NoCommonRegion,
};

/// Result of checkAccess().
struct Access
{
    AccessVerdict verdict = AccessVerdict::Allowed;
    /// Workspace that the key identifies; null if there is none. It belongs to the table.
    const Workspace *workspace = nullptr;
};

/// Checks the key that a request for the route states, if any, against the table in force.
Access checkAccess(const RouteTable &table, const Route &route,
                   const std::optional<AccessKey> &key);

} // namespace Tarragon
