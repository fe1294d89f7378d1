#include "model/LoadResult.h"

#include <algorithm>

namespace Tarragon {

namespace {

double inMilliseconds(microseconds time)
{
    return std::chrono::duration<double, std::milli>(time).count();
}

nlohmann::json toJson(const LoadTally &tally)
{
    return { { "asked", tally.asked },
             { "inGoal", tally.inGoal },
             { "late", tally.late },
             { "refused", tally.refused },
             { "failed", tally.failed } };
}

/// Converts a map with ids as keys to a JSON object.
template<typename Map, typename Convert>
nlohmann::json mapToJson(const Map &map, Convert convert)
{
    nlohmann::json json = nlohmann::json::object();
    for (const auto &[id, value] : map) {
        json[id.value()] = convert(value);
    }
    return json;
}

nlohmann::json toJson(const LoadWindow &window)
{
    nlohmann::json json = toJson(window.tally);
    json["beginMs"] = inMilliseconds(window.begin);
    json["p50Ms"] = inMilliseconds(quantile(window.times, 0.5));
    json["p99Ms"] = inMilliseconds(quantile(window.times, 0.99));
    json["use"] = mapToJson(window.utilization, [](double fraction) { return fraction; });
    return json;
}

} // namespace

double LoadTally::inGoalFraction() const
{
    return asked == 0 ? 1 : static_cast<double>(inGoal) / asked;
}

LoadTally &LoadTally::operator+=(const LoadTally &other)
{
    asked += other.asked;
    inGoal += other.inGoal;
    late += other.late;
    refused += other.refused;
    failed += other.failed;
    return *this;
}

LoadTally LoadResult::total() const
{
    LoadTally sum;
    for (const auto &[route, tally] : routes) {
        sum += tally;
    }
    return sum;
}

LoadTally LoadResult::between(microseconds from, microseconds to) const
{
    LoadTally sum;
    for (const LoadWindow &it : windows) {
        if (it.begin >= from && it.begin < to) {
            sum += it.tally;
        }
    }
    return sum;
}

microseconds quantile(const std::vector<microseconds> &sorted, double fraction)
{
    if (sorted.empty()) {
        return microseconds(0);
    }
    const auto index = static_cast<std::size_t>(fraction * static_cast<double>(sorted.size()));
    return sorted[std::min(index, sorted.size() - 1)];
}

nlohmann::json toJson(const LoadResult &result)
{
    const auto tallyToJson = [](const LoadTally &tally) { return toJson(tally); };
    nlohmann::json windows = nlohmann::json::array();
    for (const LoadWindow &it : result.windows) {
        windows.push_back(toJson(it));
    }
    return { { "load", result.load },
             { "policy", result.policy },
             { "seed", result.seed },
             { "total", toJson(result.total()) },
             { "routes", mapToJson(result.routes, tallyToJson) },
             { "regions", mapToJson(result.regions, tallyToJson) },
             { "longestRefusedMs", inMilliseconds(result.longestRefused) },
             { "returned", result.returned },
             { "returnedAnswered", result.returnedAnswered },
             { "longestQueue", mapToJson(result.longestQueue, [](int n) { return n; }) },
             { "windows", std::move(windows) } };
}

} // namespace Tarragon
