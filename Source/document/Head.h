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
};

/// One acceptance, for the history and for settling a lost answer.
struct Acceptance
{
    Generation generation;
    TeamId team;
    std::vector<SectionName> sections;
    /// Chosen at random by the instance that proposed the change.
    std::string proposalId;
    /// Wall-clock time in seconds since 1970, for people only.
    std::int64_t unixSeconds = 0;
};

/// The object "config/head": names the accepted set of sections.
struct Head
{
    Generation generation;
    std::map<SectionName, SectionReference> sections;
    /// The last acceptances, newest first, at most MaxRecentAcceptances.
    std::vector<Acceptance> recent;

    static constexpr std::size_t MaxRecentAcceptances = 64;
};

/// JSON form of the head, as stored and as sent between entries.
std::string serializeHead(const Head &head);

/// Parses the JSON form. Throws Error naming the key at fault.
Head parseHead(const std::string &json);

} // namespace Tarragon
