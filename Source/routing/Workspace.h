#pragma once

#include "base/StrongId.h"
#include "routing/AccessKey.h"
#include "routing/RegionSet.h"
#include "routing/UsageCap.h"

#include <optional>
#include <vector>

namespace Tarragon {

/// Name of a workspace, unique within a route table.
using WorkspaceName = StrongId<struct WorkspaceNameTag>;

/// A customer of the deployment whose requests are authenticated by keys.
struct Workspace
{
    WorkspaceName name;
    /// Keys that identify the workspace's requests.
    std::vector<AccessKey> keys;
    /// Priority among the workspaces, which precedes that of routes; 0 is the most urgent.
    int priority = 0;
    /// Limit on the workspace's requests over all entries; nothing if there is none.
    std::optional<UsageCap> cap;
    /// Regions in which the workspace's requests may be handled.
    RegionSet allowedRegions;
};

} // namespace Tarragon
