#include "document/DocumentParser.h"

#include "document/AccessParser.h"
#include "document/ServiceParser.h"
#include "document/ShiftsParser.h"
#include "document/StopsParser.h"
#include "document/TopologyParser.h"
#include "document/ValueFormats.h"

#include <algorithm>
#include <array>
#include <set>
#include <string_view>
#include <tuple>
#include <utility>

namespace Tarragon {

namespace {

constexpr std::array<const char *, 4> FixedSections = { "access", "topology", "shifts", "stops" };

/// Parses all sections of one document.
class SectionsParser
{
public:
    SectionsParser(const SectionTexts &sections, Findings &findings)
        : m_sections(sections)
        , m_findings(findings)
    {}

    Configuration parse();
    /// Parses the "access" section; returns nothing if the section is absent or is not valid YAML.
    std::optional<AccessRules> parseAccessOnly();

private:
    /// Reports missing and unknown sections and collects the names of the services.
    void checkNames();
    /// Loads the section's YAML; returns nothing if the section is absent, too large or not valid
    /// YAML.
    std::optional<YamlValue> load(const SectionName &name);
    void parseServices(const Topology *topology);
    /// Returns the ids that a planned stop may name; leaves out kinds whose section has no valid
    /// YAML, so that no known id is reported as unknown.
    StoppableIds stoppableIds(bool isTopologyKnown) const;

    const SectionTexts &m_sections;
    Findings &m_findings;
    std::map<SectionName, FindingContext> m_contexts;
    Configuration m_configuration;
    std::set<ServiceId> m_services;
    /// False if the section of a service could not be loaded.
    bool m_areTargetsKnown = true;
};

Configuration SectionsParser::parse()
{
    checkNames();
    const std::optional<YamlValue> topologyValue = load(SectionName("topology"));
    const Topology *topology = nullptr;
    if (topologyValue) {
        m_configuration.topology = parseTopology(*topologyValue);
        // If the topology has no region, that one fault is reported instead of a finding for each
        // reference to a region or failure domain.
        topology = m_configuration.topology.regions.empty() ? nullptr : &m_configuration.topology;
    }
    parseServices(topology);
    if (const std::optional<YamlValue> shifts = load(SectionName("shifts"))) {
        m_configuration.shifts = parseShifts(*shifts, m_services, topology);
    }
    if (const std::optional<YamlValue> stops = load(SectionName("stops"))) {
        m_configuration.stops = parseStops(*stops, stoppableIds(topology != nullptr));
    }
    m_configuration.access = parseAccessOnly().value_or(AccessRules());
    return std::move(m_configuration);
}

std::optional<AccessRules> SectionsParser::parseAccessOnly()
{
    const std::optional<YamlValue> value = load(SectionName("access"));
    if (!value) {
        return std::nullopt;
    }
    std::set<SectionName> names;
    for (const auto &[name, text] : m_sections) {
        names.insert(name);
    }
    return parseAccess(*value, names);
}

void SectionsParser::checkNames()
{
    for (const char *name : FixedSections) {
        if (!m_sections.contains(SectionName(name))) {
            m_findings.push_back(
                    { "", name, 0, "", "nothing", "the section " + std::string(name) });
        }
    }
    for (const auto &[name, text] : m_sections) {
        const std::optional<ServiceId> service = serviceOfSection(name);
        if (service && isIdentifier(service->value(), false)) {
            m_services.insert(*service);
        } else if (std::find(FixedSections.begin(), FixedSections.end(), name.value())
                   == FixedSections.end()) {
            m_findings.push_back({ "", name.value(), 0, "", "an unknown section",
                                   "access, topology, services.<name>, shifts or stops" });
        }
    }
    if (m_services.empty() || m_services.size() > MaxServices) {
        m_findings.push_back({ "", "services", 0, "",
                               std::to_string(m_services.size()) + " services",
                               "1 to " + std::to_string(MaxServices) + " services" });
    }
}

std::optional<YamlValue> SectionsParser::load(const SectionName &name)
{
    const auto it = m_sections.find(name);
    if (it == m_sections.end()) {
        return std::nullopt;
    }
    const FindingContext &context =
            m_contexts.emplace(name, FindingContext{ name.value(), &m_findings }).first->second;
    if (it->second.size() > MaxSectionBytes) {
        context.report(0, "", std::to_string(it->second.size()) + " bytes",
                       "at most " + std::to_string(MaxSectionBytes) + " bytes");
        return std::nullopt;
    }
    return loadYaml(it->second, context);
}

void SectionsParser::parseServices(const Topology *topology)
{
    ServiceContext context;
    context.topology = topology;
    if (topology) {
        for (const auto &[id, domain] : topology->domains) {
            for (const EntrySeat &it : domain.entries) {
                context.endpointUsers.emplace(it.http, "entry " + it.id.value());
                context.endpointUsers.emplace(it.rpc, "entry " + it.id.value());
            }
        }
    }
    for (const ServiceId &it : m_services) {
        const std::optional<YamlValue> value = load(serviceSection(it));
        if (!value) {
            m_areTargetsKnown = false;
            continue;
        }
        m_configuration.services[it] = parseService(*value, it, context);
    }
}

StoppableIds SectionsParser::stoppableIds(bool isTopologyKnown) const
{
    StoppableIds ids;
    if (m_areTargetsKnown) {
        std::set<std::string> &targets = ids[StopKind::Target];
        for (const auto &[id, service] : m_configuration.services) {
            for (const Target &it : service.targets) {
                targets.insert(it.id.value());
            }
        }
    }
    if (isTopologyKnown) {
        for (const auto &[id, region] : m_configuration.topology.regions) {
            ids[StopKind::Region].insert(id.value());
        }
        for (const auto &[id, domain] : m_configuration.topology.domains) {
            ids[StopKind::Domain].insert(id.value());
            for (const EntrySeat &it : domain.entries) {
                ids[StopKind::Instance].insert(it.id.value());
            }
        }
    }
    return ids;
}

/// Sorts findings by the order of the sections in a document, then by line within the section.
void sortFindings(Findings &findings)
{
    const auto rank = [](const Finding &finding) {
        static constexpr std::array<std::string_view, 5> Order = { "access", "topology", "services",
                                                                   "shifts", "stops" };
        const std::string_view top =
                std::string_view(finding.section).substr(0, finding.section.find('.'));
        return std::find(Order.begin(), Order.end(), top) - Order.begin();
    };
    std::stable_sort(findings.begin(), findings.end(), [&](const Finding &a, const Finding &b) {
        return std::tuple(rank(a), std::string_view(a.section), a.line)
               < std::tuple(rank(b), std::string_view(b.section), b.line);
    });
}

} // namespace

std::optional<Configuration> parseDocument(const SectionTexts &sections, const std::string &file,
                                           Findings &findings)
{
    Findings own;
    Configuration configuration = SectionsParser(sections, own).parse();
    if (own.empty()) {
        return configuration;
    }
    sortFindings(own);
    for (Finding &it : own) {
        it.file = file;
        findings.push_back(std::move(it));
    }
    return std::nullopt;
}

std::optional<AccessRules> parseAccessRules(const SectionTexts &sections, Findings &findings)
{
    Findings own;
    const std::optional<AccessRules> access = SectionsParser(sections, own).parseAccessOnly();
    if (!access && own.empty()) {
        own.push_back({ "", "access", 0, "", "nothing", "the section access" });
    }
    findings.insert(findings.end(), own.begin(), own.end());
    return own.empty() ? access : std::nullopt;
}

std::optional<Configuration> parseSplitDocument(const SectionTexts &sections,
                                                const SectionOrigins &origins, Findings &findings)
{
    std::optional<Configuration> configuration;
    if (!sections.empty()) {
        configuration = parseDocument(sections, "", findings);
    }
    locateFindings(findings, origins);
    if (!findings.empty()) {
        configuration.reset();
    }
    sortFindings(findings);
    // splitDocument() and parseDocument() both report a section that is not valid YAML.
    findings.erase(std::unique(findings.begin(), findings.end()), findings.end());
    return configuration;
}

std::optional<Configuration> parseWholeDocument(const std::string &text, const std::string &file,
                                                Findings &findings)
{
    Findings own;
    SectionOrigins origins;
    const SectionTexts sections = splitDocument(text, file, own, &origins);
    std::optional<Configuration> configuration = parseSplitDocument(sections, origins, own);
    for (Finding &it : own) {
        it.file = file;
        findings.push_back(std::move(it));
    }
    return configuration;
}

} // namespace Tarragon
