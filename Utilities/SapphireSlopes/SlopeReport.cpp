#include <SapphireSlopes/SlopeReport.h>

#include <LibCore/EventLog.h>
#include <LibOperator/Table.h>

#include <cmath>
#include <iomanip>
#include <sstream>

namespace Sapphire {

namespace {

std::string number(double value)
{
    constexpr double scientificBelow = 1e-3;
    constexpr double large = 100;
    constexpr int digits = 3;
    std::ostringstream text;
    const double size = std::fabs(value);
    if (size > 0 && size < scientificBelow) {
        text << std::scientific << std::setprecision(2) << value;
    } else {
        text << std::fixed << std::setprecision(size >= large ? 0 : digits) << value;
    }
    return text.str();
}

std::string pointsOf(const Slope &slope)
{
    std::string text;
    for (const Slope::Point &point : slope.points()) {
        text += (text.empty() ? "" : "  ") + number(point.size) + ": " + number(point.value);
    }
    return text;
}

std::string fitText(const Slope &slope)
{
    const std::optional<bool> fits = slope.fits();
    if (!fits) {
        return "-";
    }
    return *fits ? "yes" : "NO";
}

std::string jsonOf(const Slope &slope)
{
    const SlopeDescription &description = slope.description();
    std::ostringstream text;
    text << "{\"name\":" << quoteJson(description.name) << ",\"unit\":" << quoteJson(description.unit)
         << ",\"size\":" << quoteJson(description.size) << ",\"points\":[";
    const char *separator = "";
    for (const Slope::Point &point : slope.points()) {
        text << separator << "[" << point.size << "," << point.value << "]";
        separator = ",";
    }
    text << "],\"slope\":" << slope.slope() << ",\"intercept\":" << slope.intercept()
         << ",\"explainedVariance\":" << slope.explainedVariance() << ",\"targetSize\":" << description.requiredSize
         << ",\"extrapolated\":" << slope.extrapolated();
    if (description.ceiling) {
        text << ",\"ceiling\":" << *description.ceiling << ",\"fits\":" << (*slope.fits() ? "true" : "false");
    }
    text << "}";
    return text.str();
}

} // namespace

std::string SlopeReport::text() const
{
    Table table { { "quantity", "unit", "against", "measured (size: value)", "slope", "intercept", "R2", "at", "value",
                    "ceiling", "fits" } };
    for (const Slope &slope : slopes) {
        const SlopeDescription &description = slope.description();
        table.rows.push_back({ description.name, description.unit, description.size, pointsOf(slope),
                               number(slope.slope()), number(slope.intercept()), number(slope.explainedVariance()),
                               number(description.requiredSize), number(slope.extrapolated()),
                               description.ceiling ? number(*description.ceiling) : "-", fitText(slope) });
    }
    std::ostringstream text;
    text << group << " (load average " << std::fixed << std::setprecision(1) << loadBefore << " before, " << loadAfter
         << " after)\n"
         << table.text();
    return text.str();
}

std::string SlopeReport::json() const
{
    std::ostringstream text;
    text << "{\"group\":" << quoteJson(group) << ",\"loadBefore\":" << loadBefore << ",\"loadAfter\":" << loadAfter
         << ",\"slopes\":[";
    const char *separator = "";
    for (const Slope &slope : slopes) {
        text << separator << jsonOf(slope);
        separator = ",";
    }
    text << "]}";
    return text.str();
}

} // namespace Sapphire
