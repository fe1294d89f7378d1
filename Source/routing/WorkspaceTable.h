#pragma once

#include "routing/Workspace.h"

#include <deque>
#include <map>
#include <unordered_map>

namespace Tarragon {

/// The workspaces of one version of the route table. References to workspaces stay valid for the
/// lifetime of the table.
class WorkspaceTable
{
public:
    /// Adds a workspace. Throws Error if its name or one of its keys is empty or already in the
    /// table; the text contains no key.
    void add(Workspace workspace);
    /// Returns the workspace with the key; null if there is none.
    const Workspace *find(const AccessKey &key) const;
    std::size_t size() const { return m_workspaces.size(); }

private:
    std::deque<Workspace> m_workspaces;
    std::map<WorkspaceName, const Workspace *> m_byName;
    std::unordered_map<AccessKey, const Workspace *> m_byKey;
};

} // namespace Tarragon
