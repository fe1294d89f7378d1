#include "document/SectionDiff.h"

#include <gtest/gtest.h>

#include <random>
#include <sstream>
#include <vector>

namespace Tarragon {
namespace {

std::vector<std::string> linesOf(const std::string &text)
{
    std::vector<std::string> lines;
    std::istringstream in(text);
    std::string line;
    while (std::getline(in, line)) {
        lines.push_back(line);
    }
    return lines;
}

/// Applies a diff to the old text. Checks that its context and removed lines match that text.
std::string patched(const std::string &text, const std::string &diff)
{
    const std::vector<std::string> old = linesOf(text);
    std::string result;
    std::size_t next = 0;
    for (const std::string &it : linesOf(diff)) {
        if (it.starts_with("---") || it.starts_with("+++")) {
            continue;
        }
        if (it.starts_with("@@")) {
            const std::size_t comma = it.find(',');
            const std::size_t line = std::stoul(it.substr(4, comma - 4));
            const bool isEmpty = it.substr(comma + 1, 2) == "0 ";
            while (next < (isEmpty ? line : line - 1)) {
                result += old.at(next++) + "\n";
            }
            continue;
        }
        if (it[0] != '+') {
            EXPECT_EQ(it.substr(1), old.at(next++));
        }
        if (it[0] != '-') {
            result += it.substr(1) + "\n";
        }
    }
    while (next < old.size()) {
        result += old.at(next++) + "\n";
    }
    return result;
}

TEST(SectionDiff, ShowsChangedLinesWithContext)
{
    EXPECT_EQ(sectionDiff("a\nb\nc\nd\ne\nf\n", "a\nb\nc\nd\nE\nf\n", "old", "new"),
              "--- old\n+++ new\n@@ -2,5 +2,5 @@\n b\n c\n d\n-e\n+E\n f\n");
    EXPECT_EQ(sectionDiff("", "a\n", "old", "new"), "--- old\n+++ new\n@@ -0,0 +1,1 @@\n+a\n");
    EXPECT_EQ(sectionDiff("a\n", "a\n", "old", "new"), "");
}

// The diff must contain every change: operators use it to see what another team has changed.
TEST(SectionDiff, ApplyingTheDiffGivesTheNewText)
{
    std::mt19937 random(7);
    for (int round = 0; round < 500; ++round) {
        std::string texts[2];
        for (std::string &text : texts) {
            const std::size_t n = random() % 30;
            for (std::size_t i = 0; i < n; ++i) {
                text += std::string(1, char('a' + random() % 4)) + "\n";
            }
        }
        EXPECT_EQ(patched(texts[0], sectionDiff(texts[0], texts[1], "old", "new")), texts[1]);
    }
}

// Texts of the maximum size without a common line must not take minutes.
TEST(SectionDiff, TextsWithTooManyEditsAreReplacedCompletely)
{
    std::string a;
    std::string b;
    for (int i = 0; i < 20'000; ++i) {
        a += "a" + std::to_string(i) + "\n";
        b += "b" + std::to_string(i) + "\n";
    }
    EXPECT_EQ(patched(a, sectionDiff(a, b, "old", "new")), b);
}

} // namespace
} // namespace Tarragon
