#pragma once

#include "document/PlannedStop.h"

#include <optional>
#include <string>

namespace Tarragon {

/// The text of the "stops" section with the stop added, or changed if it is there already. Other
/// stops and their comments stay as they are. Throws Error if the text has faults.
std::string withStop(const std::string &text, const PlannedStop &stop);

/// The text of the "stops" section without the stop; nothing if it is not there. Throws Error if
/// the text has faults.
std::optional<std::string> withoutStop(const std::string &text, StopKind kind,
                                       const std::string &id);

} // namespace Tarragon
