#pragma once

#include "document/PlannedStop.h"

#include <optional>
#include <string>

namespace Tarragon {

/// Returns the text of the "stops" section with the stop added; replaces a stop of the same kind
/// and id. Other stops and their comments stay unchanged. Throws Error if the text has faults.
std::string withStop(const std::string &text, const PlannedStop &stop);

/// Returns the text of the "stops" section without the stop; nothing if the section has no such
/// stop. Throws Error if the text has faults.
std::optional<std::string> withoutStop(const std::string &text, StopKind kind,
                                       const std::string &id);

} // namespace Tarragon
