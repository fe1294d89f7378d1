#pragma once

#include "entry/PeerCoordinator.h"
#include "entry/ServingState.h"
#include "entry/Settings.h"
#include "steering/DrainState.h"

#include <string>

namespace Tarragon {

/// What the status of an entry is made of.
struct StatusSources
{
    const Settings &settings;
    Incarnation incarnation;
    ServingState &state;
    PeerCoordinator &peers;
    const DrainState &drain;
    bool isLeaving = false;
};

/// Body of GET /admin/v1/status; see docs/interface-admin.md.
std::string statusBody(const StatusSources &sources, MonotonicTime now);

} // namespace Tarragon
