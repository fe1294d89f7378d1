#pragma once

#include "entry/PeerCoordinator.h"
#include "entry/ServingState.h"
#include "entry/Settings.h"
#include "steering/DrainState.h"

#include <string>

namespace Tarragon {

/// The parts of the daemon from which the status is composed.
struct StatusSources
{
    const Settings &settings;
    Incarnation incarnation;
    ServingState &state;
    PeerCoordinator &peers;
    const DrainState &drain;
    bool isLeaving = false;
};

/// Returns the body of the response to GET /admin/v1/status; see docs/interface-admin.md.
std::string statusBody(const StatusSources &sources, MonotonicTime now);

} // namespace Tarragon
