#include "net/LogBuffer.h"
#include "net/LogLine.h"
#include "net/LogWriter.h"

#include "Support/LoopTest.h"

#include <array>

#include <fcntl.h>
#include <unistd.h>

namespace Tarragon {
namespace {

// Guards against values from callers that forge a key or a line of the log by spaces, quotes or
// line breaks.
TEST(LogLineTest, ValuesCannotForgeKeysOrLines)
{
    const LogLine line = LogLine("gateway", "request")
                                 .add("request", std::string_view("x\nevent=fake status=200"))
                                 .add("path", "a\"b")
                                 .add("empty", "");
    EXPECT_EQ(line.text(), "gateway: event=request request=\"x\\x0aevent=fake status=200\" "
                           "path=\"a\\\"b\" empty=\"\"");
}

// Guards against a log buffer that grows without bound, and against dropped lines that the log does
// not report.
TEST(LogBufferTest, DroppedLinesAreCountedAndReported)
{
    LogBuffer buffer(100);
    const std::string line = std::string(39, 'x') + "\n";
    EXPECT_TRUE(buffer.add(line));
    EXPECT_TRUE(buffer.add(line));
    EXPECT_FALSE(buffer.add(line));
    EXPECT_FALSE(buffer.add(line));
    EXPECT_EQ(buffer.dropped(), 2u);
    buffer.consume(buffer.pending().size());
    EXPECT_TRUE(buffer.add(line));
    EXPECT_EQ(buffer.pending(), "log: event=dropped lines=2\n" + line);
}

class LogWriterTest : public LoopTest
{};

// Guards against an entry that blocks because the process at the other end of its log pipe has
// stopped reading.
TEST_F(LogWriterTest, StoppedReaderDoesNotBlockTheLoop)
{
    std::array<int, 2> ends{};
    ASSERT_EQ(pipe(ends.data()), 0);
    const std::shared_ptr<LogBuffer> buffer = std::make_shared<LogBuffer>(1 << 20);
    LogWriter writer(m_loop, buffer, ends[1]);
    const std::string line = std::string(999, 'x') + "\n";
    for (int i = 0; i < 2'000; ++i) {
        buffer->add(line);
        writer.flush();
    }
    EXPECT_GT(buffer->dropped(), 0u);
    EXPECT_FALSE(buffer->pending().empty());
    std::string read;
    std::array<char, 65'536> chunk{};
    fcntl(ends[0], F_SETFL, O_NONBLOCK);
    ssize_t n = 0;
    while ((n = ::read(ends[0], chunk.data(), chunk.size())) > 0) {
        read.append(chunk.data(), std::size_t(n));
        writer.flush();
    }
    EXPECT_TRUE(buffer->pending().empty());
    EXPECT_EQ(read.size() % line.size(), 0u);
    close(ends[0]);
    close(ends[1]);
}

} // namespace
} // namespace Tarragon
