#pragma once

#include "base/Ids.h"
#include "base/Units.h"
#include "base/Versions.h"
#include "document/Head.h"
#include "document/SectionTexts.h"

#include <cstdint>
#include <optional>
#include <string>
#include <variant>
#include <vector>

namespace Tarragon {

/// Kinds of objects that are disseminated among the entries.
enum class FeedItem { Configuration, Plan };

/// An entry instance and its failure domain.
struct PeerIdentity
{
    InstanceId id;
    FailureDomainId domain;

    friend auto operator<=>(const PeerIdentity &, const PeerIdentity &) = default;
};

/// Versions of the configuration and plan that an instance has in force; 0 means none.
struct FeedVersions
{
    Generation generation;
    PlanVersion plan;

    friend bool operator==(const FeedVersions &, const FeedVersions &) = default;
};

/// Fields of a heartbeat that dissemination uses.
struct FeedReport
{
    InstanceId sender;
    FeedVersions versions;
    /// Whether the sender's last call to the store succeeded.
    bool storeReachable = false;
};

/// Action: send a heartbeat to an instance, whose reply carries its own.
struct SendHeartbeat
{
    InstanceId to;
};

/// Action: inform an instance of the versions in force on this one.
struct SendOffer
{
    InstanceId to;
    FeedVersions versions;
};

/// Action: read the head or the plan if its version is above newerThan. If wait is not 0, watch the
/// object in the store for that time first, until it changes.
struct FetchItem
{
    /// Identifies the fetch in its results.
    std::uint64_t number = 0;
    /// The instance to read from; the store if not set.
    std::optional<InstanceId> from;
    FeedItem item = FeedItem::Configuration;
    std::uint64_t newerThan = 0;
    milliseconds wait{ 0 };
};

/// Action: read the text of a section of the head that a FetchItem of the same number has returned.
struct FetchSection
{
    std::uint64_t number = 0;
    /// The instance to read from; the store if not set.
    std::optional<InstanceId> from;
    SectionName name;
    std::string digest;
};

/// Action: put a configuration into force. It has all sections of the head, with matching digests.
struct AdoptConfiguration
{
    Head head;
    SectionTexts texts;
};

/// Action: put a plan into force.
struct AdoptPlan
{
    PlanVersion version;
    std::string json;
};

using FeedAction = std::variant<SendHeartbeat, SendOffer, FetchItem, FetchSection,
                                AdoptConfiguration, AdoptPlan>;
using FeedActions = std::vector<FeedAction>;

/// Result of a FetchItem.
struct FetchedItem
{
    /// False if the call failed or its result cannot be parsed.
    bool ok = false;
    /// Version of the item; 0 if the source has none above FetchItem::newerThan.
    std::uint64_t version = 0;
    /// Set if the item is a configuration and version is not 0.
    std::optional<Head> head;
    /// JSON text if the item is a plan and version is not 0.
    std::string plan;
};

} // namespace Tarragon
