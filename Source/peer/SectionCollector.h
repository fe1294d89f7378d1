#pragma once

#include "document/Head.h"
#include "document/SectionTexts.h"

#include <optional>
#include <string>
#include <vector>

namespace Tarragon {

/// Gathers the sections that a head names. Texts whose SHA-256 is not the one in the head are
/// refused, so that a broken or lagging sender cannot mix two sets.
class SectionCollector
{
public:
    /// Takes from the present texts those that the head still names.
    SectionCollector(Head head, const Head &present, const SectionTexts &presentTexts);

    const Head &head() const { return m_head; }
    /// Sections that are still to be fetched.
    std::vector<SectionName> missing() const;
    /// Adds a section's text. Returns false if the head does not name it or the digest differs.
    bool add(const SectionName &name, const std::string &text);
    /// Adds a section's text without a look at its digest, for tests that show what the check is
    /// for.
    bool addUnverified(const SectionName &name, const std::string &text);
    bool isComplete() const { return m_texts.size() == m_head.sections.size(); }
    const SectionTexts &texts() const { return m_texts; }

private:
    Head m_head;
    SectionTexts m_texts;
};

} // namespace Tarragon
