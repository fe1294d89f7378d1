#include "gateway/RelayCodec.h"

#include "base/Error.h"
#include "platform/RawJson.h"

#include <algorithm>

namespace Tarragon {

namespace {

/// Bound of relayed ages, which keeps computations with them within range.
constexpr milliseconds MaxAge{ 1'000'000'000 };
/// Maximum nesting of a relayed specification; none that was read from the store exceeds it.
constexpr std::size_t MaxNesting = 32;

} // namespace

std::string_view toString(ChangeSource source)
{
    switch (source) {
    case ChangeSource::Undecided:
        return "undecided";
    case ChangeSource::Store:
        return "store";
    case ChangeSource::Neighbours:
        return "neighbours";
    }
    return "";
}

void fillKindNews(PeerRpc::KindNews::Builder builder, const std::optional<ChangeDelta> &news)
{
    if (!news.has_value()) {
        builder.setCoverage(PeerRpc::NewsCoverage::READ_STORE);
        return;
    }
    builder.setCoverage(news->isComplete ? PeerRpc::NewsCoverage::COMPLETE
                                         : PeerRpc::NewsCoverage::PARTIAL);
    builder.setRevision(news->revision.number);
    capnp::List<PeerRpc::StoredChange>::Builder list =
            builder.initChanges(static_cast<unsigned int>(news->changes.size()));
    for (unsigned int i = 0; i < list.size(); ++i) {
        const LoggedChange &change = *news->changes[i];
        list[i].setName(change.name);
        list[i].setRevision(change.revision.number);
        list[i].setRemoved(change.isRemoval);
        list[i].setSpec(change.spec);
    }
}

void setAge(PeerRpc::KindNews::Builder builder, microseconds age)
{
    builder.setAgeMs(static_cast<std::uint64_t>(std::chrono::ceil<milliseconds>(age).count()));
}

microseconds ageOf(PeerRpc::KindNews::Reader news)
{
    return milliseconds(
            static_cast<std::int64_t>(std::min(news.getAgeMs(), std::uint64_t(MaxAge.count()))));
}

Platform::ChangePage pageOf(PeerRpc::KindNews::Reader news)
{
    Platform::ChangePage page;
    page.outcome = Platform::CallOutcome::Done;
    page.era = StoreEra(news.getEra());
    page.revision = StoreRevision{ page.era, news.getRevision() };
    for (const PeerRpc::StoredChange::Reader it : news.getChanges()) {
        Platform::StoredChange change;
        change.item.name = it.getName();
        change.item.revision = StoreRevision{ page.era, it.getRevision() };
        change.isRemoval = it.getRemoved();
        if (!change.isRemoval) {
            const capnp::Text::Reader spec = it.getSpec();
            if (!Platform::isNestedUpTo({ spec.begin(), spec.size() }, MaxNesting)) {
                throw Error("specification of " + change.item.name + " is nested too deeply");
            }
            change.item.spec = nlohmann::json::parse(spec.begin(), spec.end());
        }
        page.changes.push_back(std::move(change));
    }
    return page;
}

} // namespace Tarragon
