#include <SapphirePolicies/PolicyOutcome.h>

#include <algorithm>

namespace Sapphire {

namespace {

double shareOf(int part, int whole)
{
    return whole == 0 ? 0 : static_cast<double>(part) / whole;
}

} // namespace

double PolicyOutcome::onTimeShare() const
{
    return shareOf(onTime, asked);
}

double PolicyOutcome::worstZoneShare() const
{
    double worst = 1;
    for (std::size_t zone = 0; zone < askedByZone.size(); ++zone) {
        worst = std::min(worst, shareOf(onTimeByZone[zone], askedByZone[zone]));
    }
    return worst;
}

Microseconds PolicyOutcome::percentile(double part) const
{
    if (times.empty()) {
        return Microseconds::zero();
    }
    std::vector<Microseconds> sorted = times;
    std::sort(sorted.begin(), sorted.end());
    const auto position = static_cast<std::size_t>(part * static_cast<double>(sorted.size() - 1));
    return sorted[position];
}

} // namespace Sapphire
