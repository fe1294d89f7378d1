#include "document/AdminMessages.h"
#include "base/Error.h"

#include <gmock/gmock.h>
#include <gtest/gtest.h>

namespace Tarragon {
namespace {

// The daemon and tarragonctl may be of different versions, so the body must have exactly the form
// described in docs/interface-admin.md.
TEST(AdminMessages, ApplyBodyHasTheDocumentedForm)
{
    DocumentEdit edit;
    edit.team = TeamId("parts");
    edit.token = "secret";
    edit.sections[SectionName("services.old")] = { std::nullopt, SectionVersion(3) };
    edit.sections[SectionName("stops")] = { "[]\n", SectionVersion(2) };
    const std::string body = applyBody(edit);
    EXPECT_EQ(body, R"({"sections":{"services.old":{"basedOn":3,"text":null},)"
                    R"("stops":{"basedOn":2,"text":"[]\n"}},"team":"parts"})");
    const DocumentEdit parsed = parseApplyBody(body);
    EXPECT_EQ(parsed.team, edit.team);
    EXPECT_EQ(parsed.sections.at(SectionName("stops")).text, "[]\n");
    EXPECT_EQ(parsed.sections.at(SectionName("services.old")).text, std::nullopt);
    EXPECT_EQ(parsed.sections.at(SectionName("services.old")).basedOn, SectionVersion(3));
}

TEST(AdminMessages, ErrorBodyKeepsFindingsAndConflicts)
{
    AdminError error{ "conflict", "changed", {}, {}, true };
    error.findings.push_back({ "", "stops", 3, "[0].id", "\"x\"", "the id of a known target" });
    error.conflicts.push_back({ SectionName("stops"), SectionVersion(1), SectionVersion(2), "now",
                                "mine", "", "before" });
    const AdminError parsed = parseAdminError(adminErrorBody(error));
    EXPECT_EQ(parsed.error, "conflict");
    EXPECT_EQ(parsed.detail, "changed");
    EXPECT_EQ(parsed.findings, error.findings);
    ASSERT_THAT(parsed.conflicts, testing::SizeIs(1));
    EXPECT_EQ(parsed.conflicts[0].current, SectionVersion(2));
    EXPECT_EQ(parsed.conflicts[0].currentText, "now");
    EXPECT_EQ(parsed.conflicts[0].basedOnText, "before");
    EXPECT_TRUE(parsed.mayBeAccepted);
}

TEST(AdminMessages, DocumentBodyKeepsTextsAndVersions)
{
    CurrentDocument document;
    document.head.generation = Generation(7);
    document.head.sections[SectionName("stops")] = { "digest", SectionVersion(4) };
    document.texts[SectionName("stops")] = "# \xc3\xa9\n[]\n";
    const CurrentDocument parsed = parseDocumentBody(documentBody(document));
    EXPECT_EQ(parsed.head, document.head);
    EXPECT_EQ(parsed.texts, document.texts);
}

// A body of the wrong form must be rejected with an error, not treated as an empty edit or stop.
TEST(AdminMessages, RejectsMalformedBodies)
{
    EXPECT_THROW(parseApplyBody(R"({"team":"a","sections":{}})"), Error);
    EXPECT_THROW(parseApplyBody(R"({"sections":{"stops":{"text":"[]"}}})"), Error);
    EXPECT_THROW(parseApplyBody(R"({"sections":{"stops":{"basedOn":1}}})"), Error);
    EXPECT_THROW(parseApplyBody(R"({"sections":{"stops":"[]"}})"), Error);
    EXPECT_THROW(parseApplyBody("null"), Error);
    EXPECT_THROW(parseStopBody(R"({"kind":"rack","id":"r","deadlineSeconds":1})"), Error);
    EXPECT_THROW(parseStopBody(R"({"kind":"target","id":"r","deadlineSeconds":-1})"), Error);
    EXPECT_THROW(parseStopBody(R"({"kind":"target","id":"r","deadlineSeconds":86401})"), Error);
}

} // namespace
} // namespace Tarragon
