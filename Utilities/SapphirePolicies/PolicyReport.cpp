#include <SapphirePolicies/PolicyReport.h>

#include <algorithm>
#include <iomanip>
#include <numeric>

namespace Sapphire {

namespace {

constexpr int nameWidth = 27;
constexpr int numberWidth = 10;

template<typename Value>
double meanOf(const std::vector<PolicyOutcome> &outcomes, const Value &value)
{
    const double sum =
        std::accumulate(outcomes.begin(), outcomes.end(), 0.0, [&](double total, const PolicyOutcome &outcome) {
            return total + value(outcome);
        });
    return outcomes.empty() ? 0 : sum / static_cast<double>(outcomes.size());
}

double meanRate(const std::vector<PolicyOutcome> &outcomes, int PolicyOutcome::*count)
{
    return meanOf(outcomes, [count](const PolicyOutcome &outcome) {
        return outcome.requests == 0 ? 0.0 : static_cast<double>(outcome.*count) / outcome.requests;
    });
}

double meanPercentileMilliseconds(const std::vector<PolicyOutcome> &outcomes, double fraction)
{
    return meanOf(outcomes, [fraction](const PolicyOutcome &outcome) {
        return std::chrono::duration<double, std::milli>(outcome.percentile(fraction)).count();
    });
}

void writeRow(std::ostream &out, const PolicyRow &row)
{
    const auto writeNumber = [&](double value) {
        out << std::setw(numberWidth) << std::setprecision(3) << value;
    };
    out << std::left << std::setw(nameWidth) << row.policy << std::right << std::fixed;
    writeNumber(row.load);
    writeNumber(row.meanOnTime());
    writeNumber(row.leastOnTime());
    writeNumber(row.mostOnTime());
    writeNumber(meanOf(row.outcomes, [](const PolicyOutcome &outcome) {
        return outcome.worstZoneOnTimeRate();
    }));
    writeNumber(meanRate(row.outcomes, &PolicyOutcome::late));
    writeNumber(meanRate(row.outcomes, &PolicyOutcome::refused));
    writeNumber(meanRate(row.outcomes, &PolicyOutcome::failed));
    writeNumber(meanRate(row.outcomes, &PolicyOutcome::refusals));
    writeNumber(meanRate(row.outcomes, &PolicyOutcome::sheds));
    out << std::setprecision(0) << std::setw(numberWidth) << meanPercentileMilliseconds(row.outcomes, 0.5)
        << std::setw(numberWidth) << meanPercentileMilliseconds(row.outcomes, 0.99) << "\n";
}

} // namespace

double PolicyRow::meanOnTime() const
{
    return meanOf(outcomes, [](const PolicyOutcome &outcome) {
        return outcome.onTimeRate();
    });
}

double PolicyRow::leastOnTime() const
{
    double least = 1;
    for (const PolicyOutcome &outcome : outcomes) {
        least = std::min(least, outcome.onTimeRate());
    }
    return least;
}

double PolicyRow::mostOnTime() const
{
    double most = 0;
    for (const PolicyOutcome &outcome : outcomes) {
        most = std::max(most, outcome.onTimeRate());
    }
    return most;
}

void writeTable(std::ostream &out, const std::vector<PolicyRow> &rows)
{
    out << std::left << std::setw(nameWidth) << "policy" << std::right;
    for (const char *head : { "load", "on time", "least", "most", "worst zone", "late", "refused", "failed", "refusals",
                              "sheds", "p50 ms", "p99 ms" }) {
        out << std::setw(numberWidth) << head;
    }
    out << "\n";
    for (const PolicyRow &row : rows) {
        writeRow(out, row);
    }
}

} // namespace Sapphire
