#pragma once

#include <optional>
#include <string>
#include <vector>

namespace Sapphire {

/// What is measured against what, and where it has to fit.
struct SlopeDescription
{
    std::string name; ///< Of the measured quantity.
    std::string unit;
    std::string size; ///< The quantity that is varied, for example "nodes".
    double targetSize { 0 };
    std::optional<double> ceiling {}; ///< In the unit.
};

/// A quantity measured at several sizes, and the straight line through the points.
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
    /// Returns the change of the value for each unit of the size, by least squares.
    double slope() const;
    double intercept() const;
    /// Returns the value of the line at the target size.
    double extrapolated() const;
    /// Returns the part of the values' variance that the line explains, from 0 to 1; 1 if the values are all equal.
    double explainedVariance() const;
    /// Returns whether the extrapolated value and the one measured at the target size, if any, are below the ceiling;
    /// nothing if there is no ceiling.
    std::optional<bool> fits() const;

private:
    double meanSize() const;
    double meanValue() const;

    SlopeDescription m_description;
    std::vector<Point> m_points;
};

} // namespace Sapphire
