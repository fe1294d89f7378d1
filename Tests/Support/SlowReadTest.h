#pragma once

#include "Support/LoopTest.h"
#include "Support/PromptCaller.h"

#include <cstddef>

namespace Tarragon {

/// Base class of tests whose callers read slowly what a server of the same loop sends.
class SlowReadTest : public LoopTest
{
protected:
    /// Reads slowly until the condition holds or the server ends the connection.
    template<typename Condition>
    void readSlowlyUntil(PromptCaller &caller, const Condition &condition)
    {
        static constexpr std::size_t BytesPerMillisecond = 2'048;
        bool isOpen = true;
        const Timer reader = m_loop.scheduleEvery(
                milliseconds(1), [&] { isOpen = isOpen && caller.receive(BytesPerMillisecond); });
        runUntil([&] { return !isOpen || condition(); });
    }
};

} // namespace Tarragon
