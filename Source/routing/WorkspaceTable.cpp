#include "routing/WorkspaceTable.h"

#include "base/Error.h"

#include <utility>

namespace Tarragon {

void WorkspaceTable::add(Workspace workspace)
{
    if (workspace.name.isEmpty()) {
        throw Error("workspace number " + std::to_string(m_workspaces.size() + 1) + " has no name");
    }
    const Workspace &added = m_workspaces.emplace_back(std::move(workspace));
    if (!m_byName.emplace(added.name, &added).second) {
        throw Error("workspace \"" + added.name.value() + "\" is listed twice");
    }
    for (const AccessKey &it : added.keys) {
        if (it.isEmpty()) {
            throw Error("workspace \"" + added.name.value() + "\" has an empty key");
        }
        const auto [known, isNew] = m_byKey.emplace(it, &added);
        if (!isNew) {
            throw Error("workspaces \"" + known->second->name.value() + "\" and \""
                        + added.name.value() + "\" list the same key");
        }
    }
}

const Workspace *WorkspaceTable::find(const AccessKey &key) const
{
    const auto it = m_byKey.find(key);
    return it == m_byKey.end() ? nullptr : it->second;
}

} // namespace Tarragon
