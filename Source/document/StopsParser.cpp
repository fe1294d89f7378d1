#include "document/StopsParser.h"

#include "document/MappingReader.h"
#include "document/ValueFormats.h"

#include <algorithm>

namespace Tarragon {

namespace {

constexpr seconds MaxDeadline{ 24 * 3600 };
constexpr std::size_t MaxReasonLength = 1'000;

bool isKnown(const PlannedStop &stop, const StoppableIds &ids)
{
    const auto it = ids.find(stop.kind);
    return it == ids.end() || it->second.contains(stop.id);
}

} // namespace

std::vector<PlannedStop> parseStops(const YamlValue &value, const StoppableIds &ids)
{
    std::vector<PlannedStop> stops;
    if (value.isNull()) {
        return stops;
    }
    const ChoiceFormat<StopKind> kindFormat{ { { "target", StopKind::Target },
                                               { "instance", StopKind::Instance },
                                               { "domain", StopKind::Domain },
                                               { "region", StopKind::Region } } };
    for (const YamlValue &it : value.items("a list of stops")) {
        PlannedStop stop;
        MappingReader reader(it);
        const bool hasKind = reader.require("kind", stop.kind, kindFormat);
        const bool hasId = reader.require("id", stop.id, TextFormat{ 1, MaxIdLength });
        reader.require("deadline", stop.deadline, SecondsFormat{ seconds(0), MaxDeadline });
        reader.optional("reason", stop.reason, TextFormat{ 0, MaxReasonLength });
        reader.finish();
        if (!hasKind || !hasId) {
            continue;
        }
        if (!isKnown(stop, ids)) {
            reader.find("id")->report("the id of a known " + toString(stop.kind));
        }
        if (std::any_of(stops.begin(), stops.end(), [&](const PlannedStop &other) {
                return other.kind == stop.kind && other.id == stop.id;
            })) {
            it.context().report(it.line(), it.key(),
                                "a second stop of " + toString(stop.kind) + " " + stop.id,
                                "one stop for each kind and id");
        }
        stops.push_back(stop);
    }
    return stops;
}

} // namespace Tarragon
