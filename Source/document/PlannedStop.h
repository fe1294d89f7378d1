#pragma once

#include "base/Units.h"

#include <optional>
#include <string>

namespace Tarragon {

/// Kind of object that a planned stop applies to.
enum class StopKind { Target, Instance, Domain, Region };

/// Returns the spelling used in the document: "target", "instance", "domain" or "region".
std::string toString(StopKind kind);

/// Parses the spelling of toString(); returns nothing for any other text.
std::optional<StopKind> parseStopKind(const std::string &text);

/// A planned stop from the "stops" section. The stop is in effect for as long as the accepted
/// document contains it.
struct PlannedStop
{
    StopKind kind = StopKind::Target;
    /// Id of the target, instance, failure domain or region.
    std::string id;
    /// Time that running requests have to finish.
    seconds deadline{ 60 };
    std::string reason;

    friend bool operator==(const PlannedStop &, const PlannedStop &) = default;
};

} // namespace Tarragon
