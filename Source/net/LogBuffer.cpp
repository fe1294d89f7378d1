#include "net/LogBuffer.h"

namespace Tarragon {

bool LogBuffer::add(std::string_view line)
{
    const std::string dropReport =
            m_unreportedDrops == 0
                    ? std::string()
                    : "log: event=dropped lines=" + std::to_string(m_unreportedDrops) + "\n";
    if (m_text.size() + dropReport.size() + line.size() > m_maxBytes) {
        ++m_dropped;
        ++m_unreportedDrops;
        return false;
    }
    m_text += dropReport;
    m_text += line;
    m_unreportedDrops = 0;
    return true;
}

} // namespace Tarragon
