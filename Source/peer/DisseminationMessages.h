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

/// What is spread among the entries.
enum class FeedItem { Configuration, Plan };

/// An entry instance and its failure domain.
struct PeerIdentity
{
    InstanceId id;
    FailureDomainId domain;

    friend auto operator<=>(const PeerIdentity &, const PeerIdentity &) = default;
};

/// Newest versions that an instance has in force.
struct FeedVersions
{
    Generation generation;
    PlanVersion plan;

    friend bool operator==(const FeedVersions &, const FeedVersions &) = default;
};

/// The part of a heartbeat that dissemination uses.
struct FeedReport
{
    InstanceId sender;
    FeedVersions versions;
    /// Whether the sender's last call to the store succeeded.
    bool storeReachable = false;
};

/// To exchange heartbeats with an instance.
struct SendHeartbeat
{
    InstanceId to;
};

/// To tell an instance which versions are in force here.
struct SendOffer
{
    InstanceId to;
    FeedVersions versions;
};

/// To read the head or the plan above the given version; from the store if no instance is named.
/// With a wait the store answers when the object changes, or at the end of the wait.
struct FetchItem
{
    std::uint64_t number = 0;
    std::optional<InstanceId> from;
    FeedItem item = FeedItem::Configuration;
    std::uint64_t newerThan = 0;
    milliseconds wait{ 0 };
};

/// To read the text of a section; from the store if no instance is named.
struct FetchSection
{
    std::uint64_t number = 0;
    std::optional<InstanceId> from;
    SectionName name;
    std::string digest;
};

/// A whole set of sections, verified, to be put into force.
struct AdoptConfiguration
{
    Head head;
    SectionTexts texts;
};

/// A plan to be put into force.
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
    /// False if there was no answer or the answer cannot be used.
    bool ok = false;
    /// 0 if there is nothing above the version asked for.
    std::uint64_t version = 0;
    /// Set for a configuration with a version.
    std::optional<Head> head;
    /// JSON of a plan with a version.
    std::string plan;
};

} // namespace Tarragon
