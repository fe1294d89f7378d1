#pragma once

#include <yaml-cpp/eventhandler.h>
#include <yaml-cpp/mark.h>

#include <optional>
#include <string>

namespace Tarragon {

/// Finds text after the end of the first YAML document of a text. The YAML library reports such
/// text as the start of a second document. The virtual functions are those of the library's
/// interface.
class TrailingTextFinder : public YAML::EventHandler
{
public:
    /// Returns the line, counted from 1, of a second document in the text; nothing if there is
    /// none. Throws YAML::Exception if the text is not YAML.
    static std::optional<int> find(const std::string &text);

    void OnDocumentStart(const YAML::Mark &mark) override { m_line = mark.line + 1; }
    void OnDocumentEnd() override {}
    void OnNull(const YAML::Mark & /*mark*/, YAML::anchor_t /*anchor*/) override {}
    void OnAlias(const YAML::Mark & /*mark*/, YAML::anchor_t /*anchor*/) override {}
    void OnScalar(const YAML::Mark & /*mark*/, const std::string & /*tag*/,
                  YAML::anchor_t /*anchor*/, const std::string & /*value*/) override
    {}
    void OnSequenceStart(const YAML::Mark & /*mark*/, const std::string & /*tag*/,
                         YAML::anchor_t /*anchor*/, YAML::EmitterStyle::value /*style*/) override
    {}
    void OnSequenceEnd() override {}
    void OnMapStart(const YAML::Mark & /*mark*/, const std::string & /*tag*/,
                    YAML::anchor_t /*anchor*/, YAML::EmitterStyle::value /*style*/) override
    {}
    void OnMapEnd() override {}

private:
    int m_line = 0;
};

} // namespace Tarragon
