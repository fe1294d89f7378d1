#include <gmock/gmock.h>
#include <nlohmann/json.hpp>

#include <array>
#include <cstdio>
#include <filesystem>
#include <fstream>
#include <string>

#include <sys/wait.h>
#include <unistd.h>

namespace Tarragon {
namespace {

class ExplainTest : public testing::Test
{
protected:
    ExplainTest()
        : m_folder(std::filesystem::temp_directory_path() / ("explain-" + std::to_string(getpid())))
    {
        std::filesystem::create_directory(m_folder);
    }
    ~ExplainTest() override { std::filesystem::remove_all(m_folder); }

    std::string write(const std::string &name, const std::string &text)
    {
        const std::filesystem::path path = m_folder / name;
        std::ofstream(path) << text;
        return path.string();
    }
    /// Returns the exit code of the command, and its standard output and standard error.
    std::pair<int, std::string> explain(const std::string &arguments)
    {
        const std::string command =
                std::string(TARRAGON_BIN_DIR) + "/tarragonctl explain " + arguments + " 2>&1";
        FILE *pipe = popen(command.c_str(), "r");
        std::string text;
        std::array<char, 4'096> chunk{};
        while (const std::size_t n = fread(chunk.data(), 1, chunk.size(), pipe)) {
            text.append(chunk.data(), n);
        }
        const int status = pclose(pipe);
        return { WEXITSTATUS(status), text };
    }

    std::filesystem::path m_folder;
};

const char *const FirstLog =
        "time=2026-01-01T00:00:09.000Z level=INFO gateway: event=target target=t1 service=s "
        "change=joined\n"
        "time=2026-01-01T00:00:10.000Z level=WARN gateway: event=store-lost reason=\"timed out\"\n"
        "not a line of the log\n"
        "time=2026-01-01T00:00:11.000Z level=INFO gateway: event=send-failed request=a1 target=t1 "
        "outcome=broken reason=\"closed by the peer, status=200\"\n"
        "time=2026-01-01T00:00:11.100Z level=INFO gateway: event=request request=a1 outcome=failed "
        "status=502\n"
        "time=2026-01-01T00:00:12.000Z level=INFO gateway: event=target target=t1 service=s "
        "change=removed\n";

// Guards against a path with records of other requests, and against a state that includes records
// from after the request.
TEST_F(ExplainTest, ShowsThePathAndTheStateBeforeIt)
{
    // The second process's clock is an hour behind; its line is about another request.
    const std::string files =
            write("one.log", FirstLog) + " "
            + write("two.log", "time=2025-12-31T23:00:11.000Z level=INFO gateway: event=request "
                               "request=a2 outcome=answered status=200\n");
    const auto [code, text] = explain("--json a1 " + files);
    ASSERT_EQ(code, 0) << text;
    const nlohmann::json json = nlohmann::json::parse(text);
    ASSERT_EQ(json.at("path").size(), 2u);
    EXPECT_EQ(json["path"][0]["event"], "send-failed");
    EXPECT_EQ(json["path"][0]["fields"]["reason"], "closed by the peer, status=200");
    EXPECT_EQ(json["path"][1]["fields"]["status"], "502");
    ASSERT_EQ(json.at("beliefs").size(), 2u);
    EXPECT_EQ(json["beliefs"][0]["fields"]["change"], "joined");
    EXPECT_EQ(json["beliefs"][1]["event"], "store-lost");
    const auto [tableCode, table] = explain("a1 " + files);
    EXPECT_EQ(tableCode, 0);
    EXPECT_THAT(table, testing::HasSubstr("outcome=broken"));
}

// Guards against records of several processes in one file that are attributed to one process.
TEST_F(ExplainTest, ProcessesInOneFileAreDistinguished)
{
    const std::string file = write(
            "all.log",
            "  1.0 edge-1 time=2026-01-01T00:00:01.000Z level=INFO gateway: event=target target=t1 "
            "change=joined\n"
            "  1.1 edge-2 time=2026-01-01T00:00:01.100Z level=INFO gateway: event=target target=t1 "
            "change=draining\n"
            "  1.2 edge-1 time=2026-01-01T00:00:01.200Z level=INFO gateway: event=request "
            "request=a1 target=t1 outcome=answered\n");
    const auto [code, text] = explain("--json a1 " + file);
    ASSERT_EQ(code, 0) << text;
    const nlohmann::json json = nlohmann::json::parse(text);
    ASSERT_EQ(json.at("beliefs").size(), 1u);
    EXPECT_EQ(json["beliefs"][0]["source"], "edge-1");
    EXPECT_EQ(json["beliefs"][0]["fields"]["change"], "joined");
}

// Guards against a request that ended without an answer and whose only line, of the part of the
// program that handles connections, is not shown.
TEST_F(ExplainTest, RequestsWithoutAnAnswerAreShown)
{
    const std::string file = write(
            "one.log",
            "time=2026-01-01T00:00:01.000Z level=WARN net: event=input-unprocessed cause=eviction "
            "idleMs=4000.1 limitMs=60000.0 bytes=118 wholeHead=true request=a1 closes=1\n"
            "time=2026-01-01T00:00:02.000Z level=WARN net: event=response-unsent cause=server-end "
            "request=a2 status=200\n"
            "time=2026-01-01T00:00:03.000Z level=ERROR net: event=request-failed "
            "cause=handler-failed request=a3 reason=\"no memory\"\n");
    const std::array causes = { "eviction", "server-end", "handler-failed" };
    for (std::size_t i = 0; i < causes.size(); ++i) {
        const auto [code, text] = explain("--json a" + std::to_string(i + 1) + " " + file);
        ASSERT_EQ(code, 0) << text;
        const nlohmann::json json = nlohmann::json::parse(text);
        ASSERT_EQ(json.at("path").size(), 1u);
        EXPECT_EQ(json["path"][0]["fields"]["cause"], causes[i]);
    }
}

// Guards against an unknown request id that is reported like a request without failures.
TEST_F(ExplainTest, UnknownRequestIsAnError)
{
    EXPECT_EQ(explain("a9 " + write("one.log", FirstLog)).first, 1);
    EXPECT_EQ(explain("a1 " + (m_folder / "missing.log").string()).first, 1);
}

} // namespace
} // namespace Tarragon
