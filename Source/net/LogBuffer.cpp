#include "net/LogBuffer.h"

namespace Tarragon {

bool LogBuffer::add(std::string_view line)
{
    const std::string note =
            m_untold == 0 ? std::string()
                          : "log: event=dropped lines=" + std::to_string(m_untold) + "\n";
    if (m_text.size() + note.size() + line.size() > m_maxBytes) {
        ++m_dropped;
        ++m_untold;
        return false;
    }
    m_text += note;
    m_text += line;
    m_untold = 0;
    return true;
}

} // namespace Tarragon
