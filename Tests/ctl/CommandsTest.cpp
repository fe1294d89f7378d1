#include "base/Digest.h"
#include "ctl/AdminStandIn.h"
#include "document/TextFile.h"

#include <gmock/gmock.h>
#include <gtest/gtest.h>

#include <sys/wait.h>

#include <array>
#include <atomic>
#include <cstdio>
#include <filesystem>
#include <fstream>
#include <thread>

namespace Tarragon {
namespace {

using testing::AllOf;
using testing::HasSubstr;
using testing::Not;

const SectionName partsSection("services.parts");

struct Output
{
    int exitCode = -1;
    std::string text;
};

/// Runs tarragonctl against a stand-in server with the document of Tests/document/base.yaml. The
/// token of team "platform" is "p", that of team "parts" is "q".
class CommandsTest : public testing::Test
{
protected:
    CommandsTest()
        : m_admin(m_loop)
        , m_folder(std::filesystem::temp_directory_path()
                   / ("tarragonctl-" + std::to_string(strongRandom())))
    {
        std::filesystem::create_directory(m_folder);
        std::string text = readTextFile(TARRAGON_SOURCE_DIR "/Tests/document/base.yaml");
        replace(text, std::string(64, '1'), sha256Hex("p"));
        replace(text, std::string(64, '2'), sha256Hex("q"));
        Findings findings;
        const EditResult seed = prepareSeed(splitDocument(text, "", findings), "seed", 1'000);
        m_admin.document = { seed.next, seed.texts };
        write("p.token", "p\n");
        write("q.token", "q\n");
    }

    ~CommandsTest() override { std::filesystem::remove_all(m_folder); }

    static void replace(std::string &text, const std::string &from, const std::string &to)
    {
        const std::size_t n = text.find(from);
        ASSERT_NE(n, std::string::npos) << from;
        text.replace(n, from.size(), to);
    }

    std::string path(const std::string &name) const { return m_folder / name; }

    void write(const std::string &name, const std::string &text) const
    {
        std::ofstream(path(name)) << text;
    }

    /// Runs tarragonctl in the temporary folder and serves the stand-in server meanwhile.
    Output run(const std::string &arguments)
    {
        Output output;
        m_isDone = false;
        std::thread thread([&] {
            const std::string command = "cd " + m_folder.string() + " && env -u TARRAGON_TOKEN "
                                        + TARRAGON_BIN_DIR "/tarragonctl " + arguments + " 2>&1";
            FILE *pipe = popen(command.c_str(), "r");
            std::array<char, 4096> buf{};
            while (const std::size_t n = fread(buf.data(), 1, buf.size(), pipe)) {
                output.text.append(buf.data(), n);
            }
            const int status = pclose(pipe);
            output.exitCode = WIFEXITED(status) ? WEXITSTATUS(status) : -1;
            m_isDone = true;
        });
        const Timer poll = m_loop.scheduleEvery(milliseconds(2), [this] {
            if (m_isDone) {
                m_loop.stop();
            }
        });
        m_loop.run();
        thread.join();
        return output;
    }

    Output runOnline(const std::string &command, const std::string &arguments)
    {
        return run(command + " --server " + m_admin.address() + " " + arguments);
    }

    /// Writes the shown section to a file, with the given number of slots.
    void showAndEdit(const std::string &file, const std::string &slots)
    {
        std::string text = runOnline("show", "services.parts").text;
        replace(text, "slots: 6", "slots: " + slots);
        write(file, text);
    }

    EventLoop m_loop;
    AdminStandIn m_admin;
    std::filesystem::path m_folder;
    std::atomic<bool> m_isDone = false;
};

TEST_F(CommandsTest, ShowEditAndApplyChangeOneSection)
{
    showAndEdit("edit.yaml", "7");
    EXPECT_THAT(runOnline("diff", "edit.yaml").text,
                AllOf(HasSubstr("--- services.parts version 1\n+++ edit.yaml\n"),
                      HasSubstr("+  - { id: parts-1, domain: north-a, address: 127.0.3.1:7080, "
                                "slots: 7 }\n"),
                      Not(HasSubstr("tarragonctl:"))));
    const Output applied = runOnline("apply", "--token-file q.token edit.yaml");
    EXPECT_EQ(applied.exitCode, 0);
    EXPECT_THAT(applied.text, HasSubstr("Accepted as generation 2.\n"));
    EXPECT_EQ(m_admin.document.head.sections.at(partsSection).version, SectionVersion(2));
    EXPECT_THAT(m_admin.document.texts.at(partsSection), HasSubstr("slots: 7"));
    EXPECT_THAT(runOnline("history", "").text,
                AllOf(HasSubstr("GENERATION  TIME                  TEAM   SECTIONS AND VERSIONS\n"),
                      HasSubstr("2           1970-01-01T00:00:00Z  parts  services.parts 2\n")));
}

// Guards against reverting sections of other teams. "show" prints the sections of all teams; when
// this file is applied later, only the sections edited in it may be sent.
TEST_F(CommandsTest, ApplyOfTheFullDocumentSendsOnlyEditedSections)
{
    std::string text = runOnline("show", "").text;
    replace(text, "slots: 6", "slots: 7");
    write("all.yaml", text);
    EXPECT_EQ(run("check all.yaml").exitCode, 0);
    EXPECT_EQ(runOnline("drain", "--token-file p.token region north").exitCode, 0);
    EXPECT_EQ(runOnline("apply", "--token-file q.token all.yaml").exitCode, 0);
    EXPECT_THAT(m_admin.document.texts.at(SectionName("stops")), HasSubstr("north"));
    write("all.yaml", runOnline("show", "").text);
    EXPECT_THAT(runOnline("apply", "--token-file q.token all.yaml").text,
                HasSubstr("No section is edited."));
}

TEST_F(CommandsTest, ConflictShowsWhatChangedAndKeepsTheFile)
{
    showAndEdit("mine.yaml", "7");
    showAndEdit("other.yaml", "8");
    const std::string mine = readTextFile(path("mine.yaml"));
    EXPECT_EQ(runOnline("apply", "--token-file q.token other.yaml").exitCode, 0);
    const Output conflict = runOnline("apply", "--token-file q.token mine.yaml");
    EXPECT_EQ(conflict.exitCode, 3);
    EXPECT_THAT(conflict.text,
                AllOf(HasSubstr("Section services.parts is at version 2, your edit "
                                "is based on version 1.\n"),
                      HasSubstr("slots: 8 }\n"), HasSubstr("--based-on services.parts=2")));
    EXPECT_EQ(readTextFile(path("mine.yaml")), mine);
    EXPECT_EQ(runOnline("apply", "--token-file q.token --based-on services.parts=2 mine.yaml")
                      .exitCode,
              0);
    EXPECT_THAT(m_admin.document.texts.at(partsSection), HasSubstr("slots: 7"));
}

// Guards against findings with line numbers of the section, which is all that was sent, instead of
// those of the operator's file.
TEST_F(CommandsTest, FindingsNameTheLineOfTheFile)
{
    showAndEdit("edit.yaml", "0");
    const Output refused = runOnline("apply", "--token-file q.token edit.yaml");
    EXPECT_EQ(refused.exitCode, 2);
    EXPECT_THAT(refused.text, HasSubstr("edit.yaml:5: services.parts: targets[0].slots: found "
                                        "\"0\", expected a whole number from 1 to 10000\n"));
    const Output checked = run("check --json edit.yaml");
    EXPECT_EQ(checked.exitCode, 2);
    EXPECT_THAT(checked.text, HasSubstr(R"("file":"edit.yaml")"));
}

TEST_F(CommandsTest, UsageErrorsAndRefusalsHaveDifferentExitCodes)
{
    write("stops.yaml", "stops: []\n");
    EXPECT_EQ(runOnline("apply", "--token-file q.token stops.yaml").exitCode, 1);
    EXPECT_EQ(runOnline("apply", "--token-file q.token --based-on stops=1 stops.yaml").exitCode, 5);
    write("r.token", "r");
    EXPECT_EQ(runOnline("drain", "--token-file r.token region north").exitCode, 5);
    EXPECT_EQ(runOnline("undrain", "--token-file p.token region north").exitCode, 5);
    EXPECT_EQ(runOnline("drain", "region north").exitCode, 1);
    EXPECT_EQ(run("show").exitCode, 1);
    EXPECT_EQ(run("plan").exitCode, 1);
}

TEST_F(CommandsTest, DrainAndUndrainChangeTheStops)
{
    const Output drained = runOnline(
            "drain", "--token-file p.token target parts-1 --deadline 90s --reason 'new fan'");
    EXPECT_EQ(drained.exitCode, 0);
    EXPECT_EQ(drained.text, "Stop of target parts-1, accepted as generation 2.\n");
    EXPECT_EQ(m_admin.document.texts.at(SectionName("stops")),
              "- { kind: target, id: \"parts-1\", deadline: 90s, reason: \"new fan\" }\n");
    EXPECT_EQ(runOnline("drain", "--token-file p.token target parts-9").exitCode, 2);
    const Output undrained = runOnline("undrain", "--token-file p.token target parts-1");
    EXPECT_EQ(undrained.text, "No stop of target parts-1, accepted as generation 3.\n");
}

TEST_F(CommandsTest, NextServerIsTriedWhenOneCannotBeReached)
{
    AdminStandIn down(m_loop);
    down.setUnavailable(true);
    const Output shown = run("show --server 127.0.0.1:1 --server " + down.address() + " --server "
                             + m_admin.address() + " stops");
    EXPECT_EQ(shown.exitCode, 0);
    EXPECT_THAT(shown.text, HasSubstr("# tarragonctl: version 1 of stops"));

    const Output failed = run("drain --server 127.0.0.1:1 --server " + down.address()
                              + " --token-file p.token region north");
    EXPECT_EQ(failed.exitCode, 4);
    EXPECT_THAT(failed.text, AllOf(HasSubstr("server 127.0.0.1:1: "),
                                   HasSubstr("unavailable: the store is down"),
                                   HasSubstr("may have been accepted")));
}

// Guards against an edit that is accepted twice. If the response to the edit is lost, the edit is
// sent again to the next server.
TEST_F(CommandsTest, EditIsAcceptedOnceWhenItsResponseIsLost)
{
    showAndEdit("edit.yaml", "7");
    m_admin.dropNextResponse();
    const Output applied = run("apply --server " + m_admin.address() + " --server "
                               + m_admin.address() + " --token-file q.token edit.yaml");
    EXPECT_EQ(applied.exitCode, 0) << applied.text;
    EXPECT_THAT(applied.text, HasSubstr("the document is at generation 2."));
    EXPECT_EQ(m_admin.document.head.generation, Generation(2));
}

// Guards against an error for an undrain that succeeded. If its response is lost, the repeated
// request finds no stop, which is the state that the operator asked for.
TEST_F(CommandsTest, UndrainSucceedsWhenItsResponseIsLost)
{
    EXPECT_EQ(runOnline("drain", "--token-file p.token region north").exitCode, 0);
    m_admin.dropNextResponse();
    const Output undrained = run("undrain --server " + m_admin.address() + " --server "
                                 + m_admin.address() + " --token-file p.token region north");
    EXPECT_EQ(undrained.exitCode, 0) << undrained.text;
    EXPECT_EQ(undrained.text, "No stop of region north.\n");
}

TEST_F(CommandsTest, StatusAndWhyPrintTables)
{
    EXPECT_EQ(runOnline("status", "").text,
              "INSTANCE  DOMAIN   REGION  STATE    GENERATION  PLAN  STORE REACHABLE\n"
              "entry-1   north-a  north   serving  3           2     true\n"
              "\n"
              "Planned stops\n"
              "KIND    ID       STATE     DEADLINE S  PENDING                REASON\n"
              "target  parts-1  draining  60          2 requests at entry-1  fan\n");
    EXPECT_EQ(runOnline("why", "parts 10.1.2.3").text,
              "Caller 10.1.2.3 is in region north by block 10.1.0.0/16.\n"
              "Generation 3, plan 2: the plan's weights decide.\n"
              "Outcome: found, region north.\n"
              "\n"
              "REGION  WEIGHT    SCORE, LOWEST WINS\n"
              "north   66.6667%  0.25\n"
              "\n"
              "POSITION  ENTRY    DOMAIN   REGION  STATE\n"
              "1         entry-1  north-a  north   live\n");
}

} // namespace
} // namespace Tarragon
