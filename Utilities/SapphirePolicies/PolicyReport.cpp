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

double partOfAsked(const std::vector<PolicyOutcome> &outcomes, int PolicyOutcome::*count)
{
    return meanOf(outcomes, [count](const PolicyOutcome &outcome) {
        return outcome.asked == 0 ? 0.0 : static_cast<double>(outcome.*count) / outcome.asked;
    });
}

double milliseconds(const std::vector<PolicyOutcome> &outcomes, double part)
{
    return meanOf(outcomes, [part](const PolicyOutcome &outcome) {
        return std::chrono::duration<double, std::milli>(outcome.percentile(part)).count();
    });
}

void writeRow(std::ostream &out, const PolicyRow &row)
{
    const auto share = [&](double value) {
        out << std::setw(numberWidth) << std::setprecision(3) << value;
    };
    out << std::left << std::setw(nameWidth) << row.policy << std::right << std::fixed;
    share(row.load);
    share(row.meanOnTime());
    share(row.leastOnTime());
    share(row.mostOnTime());
    share(meanOf(row.outcomes, [](const PolicyOutcome &outcome) {
        return outcome.worstZoneShare();
    }));
    share(partOfAsked(row.outcomes, &PolicyOutcome::late));
    share(partOfAsked(row.outcomes, &PolicyOutcome::refused));
    share(partOfAsked(row.outcomes, &PolicyOutcome::failed));
    share(partOfAsked(row.outcomes, &PolicyOutcome::refusals));
    share(partOfAsked(row.outcomes, &PolicyOutcome::sheds));
    out << std::setprecision(0) << std::setw(numberWidth) << milliseconds(row.outcomes, 0.5) << std::setw(numberWidth)
        << milliseconds(row.outcomes, 0.99) << "\n";
}

} // namespace

double PolicyRow::meanOnTime() const
{
    return meanOf(outcomes, [](const PolicyOutcome &outcome) {
        return outcome.onTimeShare();
    });
}

double PolicyRow::leastOnTime() const
{
    double least = 1;
    for (const PolicyOutcome &outcome : outcomes) {
        least = std::min(least, outcome.onTimeShare());
    }
    return least;
}

double PolicyRow::mostOnTime() const
{
    double most = 0;
    for (const PolicyOutcome &outcome : outcomes) {
        most = std::max(most, outcome.onTimeShare());
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
