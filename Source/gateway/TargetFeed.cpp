#include "gateway/TargetFeed.h"

#include "net/LogLine.h"
#include "platform/RegistryDecoder.h"

#include <log4cplus/logger.h>
#include <log4cplus/loggingmacros.h>

#include <exception>
#include <optional>
#include <utility>

namespace Tarragon {

namespace {

const log4cplus::Logger &logger()
{
    static const log4cplus::Logger instance = log4cplus::Logger::getInstance("gateway");
    return instance;
}

/// Decodes a registration. Returns nothing for one that cannot be read, and logs it.
std::optional<DiscoveredTarget> tryDecode(const Platform::StoredItem &item)
{
    try {
        return Platform::decodeTarget(item);
    } catch (const std::exception &error) {
        LOG4CPLUS_WARN(logger(), LogLine("gateway", "target-ignored")
                                         .add("target", item.name)
                                         .add("reason", error.what())
                                         .text());
        return std::nullopt;
    }
}

} // namespace

void applyTargetSnapshot(TargetRegistry &registry, const std::vector<Platform::StoredItem> &items,
                         MonotonicTime now, const std::optional<MonotonicTime> &madeAfter,
                         bool isRestored)
{
    std::vector<DiscoveredTarget> targets;
    targets.reserve(items.size());
    for (const Platform::StoredItem &it : items) {
        if (std::optional<DiscoveredTarget> target = tryDecode(it)) {
            targets.push_back(std::move(*target));
        }
    }
    if (isRestored) {
        registry.replaceAllRestored(targets, now);
    } else {
        registry.replaceAll(targets, now, madeAfter);
    }
}

void applyTargetChanges(TargetRegistry &registry,
                        const std::vector<Platform::StoredChange> &changes, MonotonicTime now,
                        const std::optional<MonotonicTime> &madeAfter)
{
    for (const Platform::StoredChange &it : changes) {
        const std::optional<DiscoveredTarget> target =
                it.isRemoval ? std::nullopt : tryDecode(it.item);
        if (target.has_value()) {
            registry.set(*target, now);
        } else {
            registry.remove(TargetId(it.item.name), now, madeAfter);
        }
    }
}

} // namespace Tarragon
