#include <SapphirePolicies/PolicyOutcome.h>

#include <algorithm>

namespace Sapphire {

namespace {

double ratio(int part, int whole)
{
    return whole == 0 ? 0 : static_cast<double>(part) / whole;
}

} // namespace

double PolicyOutcome::onTimeRate() const
{
    return ratio(onTime, requests);
}

double PolicyOutcome::worstZoneOnTimeRate() const
{
    double worst = 1;
    for (std::size_t zone = 0; zone < requestsByZone.size(); ++zone) {
        worst = std::min(worst, ratio(onTimeByZone[zone], requestsByZone[zone]));
    }
    return worst;
}

Microseconds PolicyOutcome::percentile(double fraction) const
{
    if (times.empty()) {
        return Microseconds::zero();
    }
    std::vector<Microseconds> sorted = times;
    std::sort(sorted.begin(), sorted.end());
    const auto position = static_cast<std::size_t>(fraction * static_cast<double>(sorted.size() - 1));
    return sorted[position];
}

} // namespace Sapphire
