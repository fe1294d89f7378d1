#include "entry/Settings.h"

#include <yaml-cpp/yaml.h>

#include <algorithm>
#include <fstream>
#include <set>
#include <sstream>

#include <arpa/inet.h>

namespace Tarragon {

namespace {

/// One terabyte, above any machine.
constexpr std::uint64_t MaxMegabytes = 1'000'000;
/// Above the maximum that systems permit.
constexpr std::uint64_t MaxDescriptors = 1'000'000'000;
/// Below, a process could not open its own files and listeners.
constexpr std::uint64_t MinMachineLimit = 16;
/// Highest allowed value of maxBodyBytes and responseBufferBytes.
constexpr std::uint64_t MaxBodyLimit = 64 * 1024 * 1024;

/// Reads the keys of one mapping of the settings file and adds a finding for every fault.
class SettingsReader
{
public:
    SettingsReader(const YAML::Node &node, std::string prefix, const std::string &file,
                   Findings &findings)
        : m_node(node)
        , m_prefix(std::move(prefix))
        , m_file(file)
        , m_findings(findings)
    {
        if (!m_node.IsMap()) {
            addFinding(m_node, "", describe(m_node), "a mapping");
        }
    }

    std::string requiredText(const std::string &key)
    {
        const YAML::Node node = child(key);
        if (!node.IsDefined()) {
            addFinding(m_node, key, "nothing", "a text");
            return {};
        }
        if (!node.IsScalar() || node.Scalar().empty()) {
            addFinding(node, key, describe(node), "a text");
            return {};
        }
        return node.Scalar();
    }

    std::string optionalText(const std::string &key, const std::string &fallback)
    {
        return child(key).IsDefined() ? requiredText(key) : fallback;
    }

    std::uint64_t optionalNumber(const std::string &key, std::uint64_t fallback, std::uint64_t low,
                                 std::uint64_t high)
    {
        return child(key).IsDefined() ? requiredNumber(key, low, high) : fallback;
    }

    std::uint64_t requiredNumber(const std::string &key, std::uint64_t low, std::uint64_t high)
    {
        const std::string expected =
                "a whole number from " + std::to_string(low) + " to " + std::to_string(high);
        const YAML::Node node = child(key);
        if (!node.IsDefined()) {
            addFinding(m_node, key, "nothing", expected);
            return low;
        }
        std::int64_t value = 0;
        const bool isNumber = node.IsScalar() && YAML::convert<std::int64_t>::decode(node, value);
        if (!isNumber || value < 0 || static_cast<std::uint64_t>(value) < low
            || static_cast<std::uint64_t>(value) > high) {
            addFinding(node, key, describe(node), expected);
            return low;
        }
        return static_cast<std::uint64_t>(value);
    }

    Endpoint requiredEndpoint(const std::string &key)
    {
        const YAML::Node node = child(key);
        if (!node.IsDefined()) {
            addFinding(m_node, key, "nothing", "a mapping with address and port");
            return {};
        }
        SettingsReader reader(node, m_prefix + key + ".", m_file, m_findings);
        Endpoint endpoint = reader.endpoint("address", "port");
        reader.refuseUnknownKeys();
        return endpoint;
    }

    Endpoint endpoint(const std::string &addressKey, const std::string &portKey)
    {
        Endpoint endpoint;
        endpoint.address = requiredText(addressKey);
        in_addr parsed{};
        if (!endpoint.address.empty()
            && inet_pton(AF_INET, endpoint.address.c_str(), &parsed) != 1) {
            addFinding(child(addressKey), addressKey, "\"" + endpoint.address + "\"",
                       "an IPv4 address");
        }
        endpoint.port = static_cast<std::uint16_t>(requiredNumber(portKey, 0, 65535));
        return endpoint;
    }

    /// Returns the value of a key and marks the key as known.
    YAML::Node child(const std::string &key)
    {
        m_knownKeys.insert(key);
        if (!m_node.IsMap()) {
            return YAML::Node(YAML::NodeType::Undefined);
        }
        const YAML::Node &node = m_node;
        return node[key];
    }

    /// Adds a finding for every key that no other function has read, and for every duplicate key.
    void refuseUnknownKeys()
    {
        if (!m_node.IsMap()) {
            return;
        }
        std::string expected;
        for (const std::string &it : m_knownKeys) {
            expected += (expected.empty() ? "one of " : ", ") + it;
        }
        std::set<std::string> seen;
        for (const auto &it : m_node) {
            const std::string key = it.first.as<std::string>("");
            if (m_knownKeys.count(key) == 0) {
                addFinding(it.first, key, "an unknown key", expected);
            }
            if (!seen.insert(key).second) {
                addFinding(it.first, key, "the key a second time", "each key once");
            }
        }
    }

    void addFinding(const YAML::Node &node, const std::string &key, const std::string &found,
                    const std::string &expected)
    {
        const int line = node.IsDefined() ? node.Mark().line + 1 : 0;
        m_findings.push_back(Finding{ m_file, "", line, m_prefix + key, found, expected });
    }

private:
    static std::string describe(const YAML::Node &node)
    {
        if (node.IsMap()) {
            return "a mapping";
        }
        if (node.IsSequence()) {
            return "a list";
        }
        return node.IsScalar() ? "\"" + node.Scalar() + "\"" : "nothing";
    }

    YAML::Node m_node;
    std::string m_prefix;
    const std::string &m_file;
    Findings &m_findings;
    std::set<std::string> m_knownKeys;
};

std::vector<PeerAddress> parsePeers(SettingsReader &reader, const std::string &file,
                                    Findings &findings)
{
    std::vector<PeerAddress> peers;
    const YAML::Node list = reader.child("peers");
    if (!list.IsDefined()) {
        return peers;
    }
    if (!list.IsSequence()) {
        reader.addFinding(list, "peers", "no list", "a list of instance, rpcAddress and rpcPort");
        return peers;
    }
    for (std::size_t i = 0; i < list.size(); ++i) {
        SettingsReader peer(list[i], "peers[" + std::to_string(i) + "].", file, findings);
        PeerAddress address;
        address.instance = InstanceId(peer.requiredText("instance"));
        address.rpc = peer.endpoint("rpcAddress", "rpcPort");
        peer.refuseUnknownKeys();
        peers.push_back(address);
    }
    return peers;
}

void parseLog(SettingsReader &reader, const std::string &file, Findings &findings,
              Settings &settings)
{
    const YAML::Node node = reader.child("log");
    if (!node.IsDefined()) {
        return;
    }
    SettingsReader log(node, "log.", file, findings);
    settings.logLevel = log.optionalText("level", settings.logLevel);
    const std::set<std::string> levels{ "TRACE", "DEBUG", "INFO", "WARN", "ERROR" };
    if (levels.count(settings.logLevel) == 0) {
        log.addFinding(log.child("level"), "level", "\"" + settings.logLevel + "\"",
                       "TRACE, DEBUG, INFO, WARN or ERROR");
    }
    log.refuseUnknownKeys();
}

} // namespace

std::optional<Settings> parseSettings(const std::string &text, const std::string &file,
                                      Findings &findings)
{
    const std::size_t findingsBefore = findings.size();
    YAML::Node root;
    try {
        root = YAML::Load(text);
    } catch (const YAML::Exception &error) {
        findings.push_back(
                Finding{ file, "", error.mark.line + 1, "", error.msg, "a YAML mapping" });
        return std::nullopt;
    }
    Settings settings;
    SettingsReader reader(root, "", file, findings);
    settings.instance = InstanceId(reader.requiredText("instance"));
    settings.domain = FailureDomainId(reader.requiredText("failureDomain"));
    settings.region = RegionId(reader.requiredText("region"));
    settings.seat = static_cast<int>(reader.requiredNumber("seat", 0, 255));
    settings.http = reader.requiredEndpoint("http");
    settings.rpc = reader.requiredEndpoint("rpc");
    settings.store = reader.requiredEndpoint("store");
    settings.peers = parsePeers(reader, file, findings);
    settings.documentFile = reader.optionalText("document", "");
    parseLog(reader, file, findings, settings);
    settings.memoryMegabytes = reader.optionalNumber("memoryMegabytes", settings.memoryMegabytes,
                                                     MinMachineLimit, MaxMegabytes);
    settings.maxDescriptors = reader.optionalNumber("maxDescriptors", settings.maxDescriptors,
                                                    MinMachineLimit, MaxDescriptors);
    settings.maxBody.value =
            reader.optionalNumber("maxBodyBytes", settings.maxBody.value, 1, MaxBodyLimit);
    settings.responseBuffer.value = reader.optionalNumber(
            "responseBufferBytes", settings.responseBuffer.value, 4096, MaxBodyLimit);
    settings.stopDeadline = seconds(reader.optionalNumber(
            "stopDeadlineSeconds", static_cast<std::uint64_t>(settings.stopDeadline.count()), 1,
            3600));
    settings.storeTimeout = milliseconds(reader.optionalNumber(
            "storeTimeoutMs", static_cast<std::uint64_t>(settings.storeTimeout.count()), 10,
            60'000));
    reader.refuseUnknownKeys();
    if (findings.size() != findingsBefore) {
        return std::nullopt;
    }
    return settings;
}

std::optional<Settings> readSettings(const std::string &file, Findings &findings)
{
    std::ifstream stream(file);
    std::stringstream text;
    text << stream.rdbuf();
    if (!stream) {
        findings.push_back(Finding{ file, "", 0, "", "a file that cannot be read",
                                    "a readable settings file" });
        return std::nullopt;
    }
    return parseSettings(text.str(), file, findings);
}

} // namespace Tarragon
