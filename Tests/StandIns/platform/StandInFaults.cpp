#include "StandIns/platform/StandInFaults.h"

#include "base/Error.h"

#include <string>

namespace Tarragon {

void StandInFaults::update(const nlohmann::json &json)
{
    for (const auto &[name, value] : json.items()) {
        if (name == "outage") {
            outage = value.get<bool>();
        } else if (name == "outageKind") {
            const std::string kind = value.get<std::string>();
            if (kind != "refused" && kind != "unavailable") {
                throw Error("outageKind is \"" + kind + "\", expected refused or unavailable");
            }
            refusesConnections = kind == "refused";
        } else if (name == "delayMs") {
            delay = milliseconds(value.get<int>());
        } else if (name == "effectDelayMs") {
            effectDelay = milliseconds(value.get<int>());
        } else if (name == "loseAnswers") {
            loseAnswers = value.get<int>();
        } else if (name == "listLagMs") {
            listLag = milliseconds(value.get<int>());
        } else {
            throw Error("unknown fault \"" + name
                        + "\", expected outage, outageKind, delayMs, effectDelayMs, loseAnswers or "
                          "listLagMs");
        }
    }
}

nlohmann::json StandInFaults::toJson() const
{
    return { { "outage", outage },
             { "outageKind", refusesConnections ? "refused" : "unavailable" },
             { "delayMs", delay.count() },
             { "effectDelayMs", effectDelay.count() },
             { "loseAnswers", loseAnswers },
             { "listLagMs", listLag.count() } };
}

} // namespace Tarragon
