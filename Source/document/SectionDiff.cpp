#include "document/SectionDiff.h"

#include <algorithm>
#include <string_view>
#include <vector>

namespace Tarragon {

namespace {

constexpr int ContextLines = 3;
// The Myers search stores one row for each edit, so its memory grows with the square of the number
// of edits; with this limit it needs at most 16 MB. Texts that differ more are shown as completely
// replaced.
constexpr int MaxEdits = 2'000;

using Lines = std::vector<std::string_view>;

enum class Operation { Keep, Remove, Add };

Lines splitLines(std::string_view text)
{
    Lines lines;
    while (!text.empty()) {
        const std::size_t n = std::min(text.find('\n'), text.size());
        lines.push_back(text.substr(0, n));
        text.remove_prefix(std::min(n + 1, text.size()));
    }
    return lines;
}

/// Returns the shortest edit script, found with the greedy algorithm of Myers. If it needs more
/// than MaxEdits edits, returns a script that removes all lines of a and adds all lines of b.
std::vector<Operation> shortestEdit(const Lines &a, const Lines &b)
{
    const int n = int(a.size());
    const int m = int(b.size());
    const int maxEdits = std::min(n + m, MaxEdits);
    const int offset = maxEdits + 1;
    // reach[k + offset] is the farthest position in a that was reached on diagonal k; the diagonal
    // is the position in a minus the position in b.
    std::vector<int> reach(2 * std::size_t(offset) + 1, 0);
    const auto reachOf = [&](int k) -> int & {
        const int index = k + offset;
        return reach[std::size_t(index)];
    };
    const auto isSame = [&](int x, int y) { return a[std::size_t(x)] == b[std::size_t(y)]; };
    std::vector<std::vector<int>> rows;
    int edits = -1;
    for (int d = 0; d <= maxEdits && edits < 0; ++d) {
        rows.emplace_back(reach.begin() + offset - d - 1, reach.begin() + offset + d + 2);
        for (int k = -d; k <= d; k += 2) {
            const int left = reachOf(k - 1);
            const int right = reachOf(k + 1);
            int x = k == -d || (k != d && left < right) ? right : left + 1;
            while (x < n && x - k < m && isSame(x, x - k)) {
                ++x;
            }
            reachOf(k) = x;
            if (x >= n && x - k >= m) {
                edits = d;
                break;
            }
        }
    }
    std::vector<Operation> script;
    if (edits < 0) {
        script.assign(a.size(), Operation::Remove);
        script.insert(script.end(), b.size(), Operation::Add);
        return script;
    }
    int x = n;
    int y = m;
    for (int d = edits; d >= 0; --d) {
        const std::vector<int> &row = rows[std::size_t(d)];
        const auto at = [&](int diagonal) {
            const int index = diagonal + d + 1;
            return row[std::size_t(index)];
        };
        const int k = x - y;
        const bool isDown = k == -d || (k != d && at(k - 1) < at(k + 1));
        const int fromX = d == 0 ? 0 : at(isDown ? k + 1 : k - 1);
        const int fromY = d == 0 ? 0 : fromX - (isDown ? k + 1 : k - 1);
        while (x > fromX && y > fromY) {
            script.push_back(Operation::Keep);
            --x;
            --y;
        }
        if (d > 0) {
            script.push_back(isDown ? Operation::Add : Operation::Remove);
            x = fromX;
            y = fromY;
        }
    }
    std::reverse(script.begin(), script.end());
    return script;
}

/// Marks the operations that are shown: changes and ContextLines unchanged lines around them.
std::vector<bool> shownOperations(const std::vector<Operation> &script)
{
    std::vector<bool> shown(script.size(), false);
    const int size = int(script.size());
    for (int i = 0; i < size; ++i) {
        if (script[std::size_t(i)] == Operation::Keep) {
            continue;
        }
        for (int j = std::max(0, i - ContextLines); j <= std::min(size - 1, i + ContextLines);
             ++j) {
            shown[std::size_t(j)] = true;
        }
    }
    return shown;
}

/// Returns the "start,count" of a hunk header.
std::string range(std::size_t start, std::size_t count)
{
    // In unified diff format an empty range names the line before it.
    return std::to_string(count == 0 ? start : start + 1) + "," + std::to_string(count);
}

} // namespace

std::string sectionDiff(const std::string &oldText, const std::string &newText,
                        const std::string &oldLabel, const std::string &newLabel)
{
    if (oldText == newText) {
        return {};
    }
    const Lines a = splitLines(oldText);
    const Lines b = splitLines(newText);
    const std::vector<Operation> script = shortestEdit(a, b);
    const std::vector<bool> shown = shownOperations(script);
    std::string out = "--- " + oldLabel + "\n+++ " + newLabel + "\n";
    std::size_t x = 0;
    std::size_t y = 0;
    for (std::size_t i = 0; i < script.size();) {
        if (!shown[i]) {
            ++x;
            ++y;
            ++i;
            continue;
        }
        const std::size_t startX = x;
        const std::size_t startY = y;
        std::string lines;
        for (; i < script.size() && shown[i]; ++i) {
            switch (script[i]) {
            case Operation::Keep:
                lines.append(" ").append(a[x]).append("\n");
                ++x;
                ++y;
                break;
            case Operation::Remove:
                lines.append("-").append(a[x++]).append("\n");
                break;
            case Operation::Add:
                lines.append("+").append(b[y++]).append("\n");
                break;
            }
        }
        out += "@@ -" + range(startX, x - startX) + " +" + range(startY, y - startY) + " @@\n";
        out += lines;
    }
    return out;
}

} // namespace Tarragon
