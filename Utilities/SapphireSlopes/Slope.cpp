#include <SapphireSlopes/Slope.h>

#include <algorithm>
#include <utility>

namespace Sapphire {

Slope::Slope(SlopeDescription description) : m_description(std::move(description))
{
}

void Slope::add(double size, double value)
{
    m_points.push_back({ size, value });
}

double Slope::meanSize() const
{
    double sum = 0;
    for (const Point &point : m_points) {
        sum += point.size;
    }
    return m_points.empty() ? 0 : sum / static_cast<double>(m_points.size());
}

double Slope::meanValue() const
{
    double sum = 0;
    for (const Point &point : m_points) {
        sum += point.value;
    }
    return m_points.empty() ? 0 : sum / static_cast<double>(m_points.size());
}

double Slope::slope() const
{
    const double size = meanSize();
    const double value = meanValue();
    double covarianceSum = 0;
    double squaredDeviations = 0;
    for (const Point &point : m_points) {
        covarianceSum += (point.size - size) * (point.value - value);
        squaredDeviations += (point.size - size) * (point.size - size);
    }
    return squaredDeviations > 0 ? covarianceSum / squaredDeviations : 0;
}

double Slope::intercept() const
{
    return meanValue() - slope() * meanSize();
}

double Slope::extrapolated() const
{
    return intercept() + slope() * m_description.requiredSize;
}

double Slope::explainedVariance() const
{
    const double mean = meanValue();
    double total = 0;
    double residual = 0;
    for (const Point &point : m_points) {
        const double difference = point.value - (intercept() + slope() * point.size);
        total += (point.value - mean) * (point.value - mean);
        residual += difference * difference;
    }
    return total > 0 ? 1 - residual / total : 1;
}

std::optional<bool> Slope::fits() const
{
    if (!m_description.ceiling) {
        return std::nullopt;
    }
    const double ceiling = *m_description.ceiling;
    const bool isMeasuredWithinCeiling = std::all_of(m_points.begin(), m_points.end(), [&](const Point &point) {
        return point.size != m_description.requiredSize || point.value <= ceiling;
    });
    return isMeasuredWithinCeiling && extrapolated() <= ceiling;
}

} // namespace Sapphire
