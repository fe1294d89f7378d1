#include "model/LoadPlot.h"

#include <algorithm>
#include <array>
#include <functional>
#include <sstream>
#include <utility>

namespace Tarragon {

namespace {

/// Size of the image and edges of its plot area, in pixels.
constexpr double Width = 800;
constexpr double Height = 320;
constexpr double Left = 60;
constexpr double Right = 780;
constexpr double Top = 40;
constexpr double Bottom = 280;
constexpr int Ticks = 4;

/// Colours of lines. The palette can be distinguished by most people with colour blindness.
constexpr std::array<const char *, 6> Colours = { "#0072b2", "#d55e00", "#009e73",
                                                  "#cc79a7", "#e69f00", "#56b4e9" };

struct Line
{
    std::string label;
    /// One value for each window.
    std::vector<double> values;
};

std::string escaped(const std::string &text)
{
    std::string result;
    for (const char c : text) {
        if (c == '<') {
            result += "&lt;";
        } else if (c == '&') {
            result += "&amp;";
        } else {
            result += c;
        }
    }
    return result;
}

void addText(std::ostream &out, double x, double y, const std::string &text,
             const std::string &attributes)
{
    out << "<text x=\"" << x << "\" y=\"" << y << "\" " << attributes << ">" << escaped(text)
        << "</text>\n";
}

std::string plot(const LoadResult &result, const std::string &title, const std::string &unit,
                 const std::vector<Line> &lines)
{
    double highest = 0;
    for (const Line &it : lines) {
        for (const double value : it.values) {
            highest = std::max(highest, value);
        }
    }
    highest = highest > 0 ? highest : 1;
    const double steps = std::max<double>(1, static_cast<double>(result.windows.size()) - 1);
    std::ostringstream out;
    out << "<svg xmlns=\"http://www.w3.org/2000/svg\" width=\"" << Width << "\" height=\"" << Height
        << "\" font-family=\"sans-serif\" font-size=\"12\">\n"
        << "<rect width=\"100%\" height=\"100%\" fill=\"white\"/>\n";
    addText(out, Left, Top / 2, result.load + ", " + result.policy + ": " + title,
            "font-weight=\"bold\"");
    for (int i = 0; i <= Ticks; ++i) {
        const double part = static_cast<double>(i) / Ticks;
        const double y = Bottom - part * (Bottom - Top);
        out << "<line x1=\"" << Left << "\" x2=\"" << Right << "\" y1=\"" << y << "\" y2=\"" << y
            << "\" stroke=\"#ddd\"/>\n";
        std::ostringstream label;
        label.precision(3);
        label << part * highest << ' ' << unit;
        addText(out, Left - 4, y + 4, label.str(), "text-anchor=\"end\"");
        label.str("");
        label << part * steps << " s";
        addText(out, Left + part * (Right - Left), Bottom + 16, label.str(),
                "text-anchor=\"middle\"");
    }
    for (std::size_t i = 0; i < lines.size(); ++i) {
        const char *colour = Colours.at(i % Colours.size());
        out << "<polyline fill=\"none\" stroke=\"" << colour << "\" points=\"";
        for (std::size_t k = 0; k < lines[i].values.size(); ++k) {
            out << Left + static_cast<double>(k) / steps * (Right - Left) << ','
                << Bottom - lines[i].values[k] / highest * (Bottom - Top) << ' ';
        }
        out << "\"/>\n";
        addText(out, Left + 120 * static_cast<double>(i), Height - 8, lines[i].label,
                std::string("fill=\"") + colour + "\"");
    }
    out << "</svg>\n";
    return out.str();
}

Line lineOf(const LoadResult &result, std::string label,
            const std::function<double(const LoadWindow &)> &value)
{
    Line line{ std::move(label), {} };
    std::transform(result.windows.begin(), result.windows.end(), std::back_inserter(line.values),
                   value);
    return line;
}

Line quantileLine(const LoadResult &result, const std::string &label, double part)
{
    return lineOf(result, label, [part](const LoadWindow &window) {
        return std::chrono::duration<double, std::milli>(quantile(window.times, part)).count();
    });
}

} // namespace

std::string plotTimes(const LoadResult &result)
{
    return plot(
            result, "time to the answer", "ms",
            { quantileLine(result, "median", 0.5), quantileLine(result, "99th percentile", 0.99) });
}

std::string plotUtilization(const LoadResult &result)
{
    std::vector<Line> lines;
    for (const auto &[region, tally] : result.regions) {
        lines.push_back(lineOf(result, region.value(), [&id = region](const LoadWindow &window) {
            const auto it = window.utilization.find(id);
            return it == window.utilization.end() ? 0 : it->second;
        }));
    }
    return plot(result, "slots in use", "", lines);
}

} // namespace Tarragon
