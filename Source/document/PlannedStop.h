#pragma once

#include "base/Units.h"

#include <optional>
#include <string>

namespace Tarragon {

/// What a planned stop applies to.
enum class StopKind { Target, Instance, Domain, Region };

/// The spelling used in the document: "target", "instance", "domain" or "region".
std::string toString(StopKind kind);

/// Parses the spelling of toString(); nothing if the text is none of them.
std::optional<StopKind> parseStopKind(const std::string &text);

/// A planned stop from the "stops" section. It is in force for as long as the document names it.
struct PlannedStop
{
    StopKind kind = StopKind::Target;
    /// Id of the target, instance, failure domain or region.
    std::string id;
    /// Time that running requests get to finish.
    seconds deadline{ 60 };
    std::string reason;

    friend bool operator==(const PlannedStop &, const PlannedStop &) = default;
};

} // namespace Tarragon
