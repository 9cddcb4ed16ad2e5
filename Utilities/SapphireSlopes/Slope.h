#pragma once

#include <optional>
#include <string>
#include <vector>

namespace Sapphire {

/// A measured quantity, the size that it depends on, and the ceiling that it must not exceed at the required size.
struct SlopeDescription
{
    std::string name; ///< Of the measured quantity.
    std::string unit;
    std::string size; ///< The quantity that is varied, for example "nodes".
    double requiredSize { 0 }; ///< To which the line is extrapolated.
    std::optional<double> ceiling {}; ///< Highest acceptable value.
};

/// A quantity measured at several sizes, and the straight line fitted to the points by least squares.
class Slope
{
public:
    struct Point
    {
        double size;
        double value;
    };

    explicit Slope(SlopeDescription description);

    void add(double size, double value);

    const SlopeDescription &description() const
    {
        return m_description;
    }
    const std::vector<Point> &points() const
    {
        return m_points;
    }
    /// Returns the change of the value for each unit of the size.
    double slope() const;
    double intercept() const;
    /// Returns the value of the line at the required size.
    double extrapolated() const;
    /// Returns R2, the fraction of the values' variance that the line explains; 1 if the values are all equal.
    double explainedVariance() const;
    /// Returns whether neither the extrapolated value nor the one measured at the required size, if any, exceeds the
    /// ceiling; nothing if there is no ceiling.
    std::optional<bool> fits() const;

private:
    double meanSize() const;
    double meanValue() const;

    SlopeDescription m_description;
    std::vector<Point> m_points;
};

} // namespace Sapphire
