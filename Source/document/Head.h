#pragma once

#include "base/Ids.h"
#include "base/Versions.h"

#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace Tarragon {

/// Version of one section; every accepted edit of the section raises it by one.
using SectionVersion = StrongNumber<struct SectionVersionTag>;

/// Names the accepted text of a section.
struct SectionReference
{
    /// SHA-256 of the text, which is stored under "config/section/<name>/<digest>".
    std::string digest;
    SectionVersion version;

    friend bool operator==(const SectionReference &, const SectionReference &) = default;
};

/// One acceptance, for the history and for settling a lost answer.
struct Acceptance
{
    Generation generation;
    TeamId team;
    /// What each changed section became. A removed section has an empty digest.
    std::map<SectionName, SectionReference> sections;
    /// Chosen at random by the instance that proposed the change.
    std::string proposalId;
    /// Wall-clock time in seconds since 1970, for people only.
    std::int64_t unixSeconds = 0;

    friend bool operator==(const Acceptance &, const Acceptance &) = default;
};

/// The object "config/head": names the accepted set of sections.
struct Head
{
    Generation generation;
    std::map<SectionName, SectionReference> sections;
    /// The last acceptances, newest first, at most MaxRecentAcceptances.
    std::vector<Acceptance> recent;

    static constexpr std::size_t MaxRecentAcceptances = 64;

    friend bool operator==(const Head &, const Head &) = default;
};

/// Key of the head in the platform's store.
inline constexpr const char *HeadKey = "config/head";

/// Key of a section's text in the platform's store.
std::string sectionObjectKey(const SectionName &section, const std::string &digest);

/// JSON form of the head, as stored and as sent between entries.
std::string serializeHead(const Head &head);

/// Parses the JSON form. Unknown keys are ignored, so that a newer version may add some. Throws
/// Error naming the key at fault.
Head parseHead(const std::string &text);

} // namespace Tarragon
