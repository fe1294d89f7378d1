#include "peer/SectionCollector.h"

#include "base/Digest.h"

#include <utility>

namespace Tarragon {

SectionCollector::SectionCollector(Head head, const Head &present, const SectionTexts &presentTexts)
    : m_head(std::move(head))
{
    for (const auto &[name, reference] : m_head.sections) {
        const auto it = present.sections.find(name);
        if (it == present.sections.end() || it->second.digest != reference.digest)
            continue;
        const auto text = presentTexts.find(name);
        if (text != presentTexts.end())
            m_texts.emplace(name, text->second);
    }
}

std::vector<SectionName> SectionCollector::missing() const
{
    std::vector<SectionName> names;
    for (const auto &[name, reference] : m_head.sections) {
        if (!m_texts.contains(name))
            names.push_back(name);
    }
    return names;
}

bool SectionCollector::add(const SectionName &name, const std::string &text)
{
    const auto it = m_head.sections.find(name);
    if (it == m_head.sections.end() || sha256Hex(text) != it->second.digest)
        return false;
    m_texts[name] = text;
    return true;
}

bool SectionCollector::addUnverified(const SectionName &name, const std::string &text)
{
    m_texts[name] = text;
    return true;
}

} // namespace Tarragon
