#include <SapphirePolicies/PolicyReport.h>

#include <boost/geometry.hpp>
#include <boost/geometry/geometries/linestring.hpp>
#include <boost/geometry/geometries/point_xy.hpp>
#include <boost/geometry/io/svg/svg_mapper.hpp>

#include <array>
#include <map>

namespace Sapphire {

namespace {

using Point = boost::geometry::model::d2::point_xy<double>;
using Line = boost::geometry::model::linestring<Point>;
using Mapper = boost::geometry::svg_mapper<Point>;

constexpr int width = 720;
constexpr int height = 480;
constexpr int margin = 40;
constexpr int gridStep = 20; // Percent.
constexpr double loadTextSpace = 0.2;
constexpr double textSpace = 0.05;
const std::array<const char *, 6> colors { "crimson", "darkorange", "seagreen", "steelblue", "purple", "black" };

std::string styleOf(const char *color, int lineWidth)
{
    return "fill:none;stroke:" + std::string(color) + ";stroke-width:" + std::to_string(lineWidth);
}

void drawText(Mapper &mapper, const Point &at, const std::string &text, const char *color)
{
    mapper.text(at, text, "font-family:sans-serif;font-size:12px;fill:" + std::string(color));
}

void drawGrid(Mapper &mapper, double leastLoad, double mostLoad)
{
    for (int percent = 0; percent <= 100; percent += gridStep) {
        const double rate = percent / 100.0;
        mapper.map(Line { { leastLoad, rate }, { mostLoad, rate } }, styleOf("lightgrey", 1));
        drawText(mapper, { leastLoad, rate }, std::to_string(percent) + " % on time", "grey");
    }
    drawText(mapper, { leastLoad, -textSpace }, "load from " + std::to_string(leastLoad).substr(0, 4), "grey");
    drawText(mapper, { mostLoad - loadTextSpace, -textSpace }, "to " + std::to_string(mostLoad).substr(0, 4), "grey");
}

} // namespace

void writePlot(std::ostream &out, const std::vector<PolicyRow> &rows)
{
    std::map<std::string, Line> lines;
    double leastLoad = rows.empty() ? 0 : rows.front().load;
    double mostLoad = leastLoad;
    for (const PolicyRow &row : rows) {
        lines[row.policy].push_back({ row.load, row.meanOnTime() });
        leastLoad = std::min(leastLoad, row.load);
        mostLoad = std::max(mostLoad, row.load);
    }
    Mapper mapper(out, width, height, R"(width="760" height="520" viewBox="-20 -20 760 520")");
    const Line frame { { leastLoad, -2 * textSpace }, { mostLoad, 1 + textSpace } };
    mapper.add(frame);
    drawGrid(mapper, leastLoad, mostLoad);
    std::size_t color = 0;
    double textAt = 1;
    for (const auto &[policy, line] : lines) {
        const char *const name = colors[color++ % colors.size()];
        mapper.map(line, styleOf(name, 2));
        drawText(mapper, { (leastLoad + mostLoad) / 2, textAt }, policy, name);
        textAt -= textSpace;
    }
}

} // namespace Sapphire
