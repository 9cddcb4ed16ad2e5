#pragma once

#include <LibCore/Deadline.h>
#include <LibCore/Ids.h>
#include <LibCore/RandomSource.h>

#include <map>
#include <set>
#include <vector>

namespace Sapphire {

/// Measurements of a target, compared with those of the other targets of its service to find outliers.
struct OutlierSample
{
    TargetId target;
    Microseconds averageLatency {};
    double errorRate { 0 }; ///< Fraction of recent answers that were server errors.
};

/// Ejects failing targets and outliers, that is, excludes them from selection, and readmits them after one successful
/// trial request.
class OutlierEjection
{
public:
    /// Returns whether this failure ejects the target: the third in a row, or that of a trial request.
    bool noteFailure(const TargetId &target, TimePoint now, RandomSource &random);
    /// Returns whether this success readmits the target.
    bool noteSuccess(const TargetId &target, TimePoint now);
    /// Ejects at once, for a target that is known to be dead.
    void eject(const TargetId &target, TimePoint now, RandomSource &random);
    /// Ejects targets that are much slower, or fail much more often, than the median of their service. At most half of
    /// all targets are ejected for this reason. Returns those ejected now.
    std::vector<TargetId> ejectOutliers(std::vector<OutlierSample> samples, std::size_t targetCount, TimePoint now,
                                        RandomSource &random);

    bool isEjected(const TargetId &target) const;
    /// Returns whether a trial request may be sent to an ejected target.
    bool mayTry(const TargetId &target, TimePoint now) const;
    /// Returns when a trial may be sent; meaningful for an ejected target.
    Deadline nextTrialAt(const TargetId &target) const;
    /// Marks a trial as running. noteFailure(), noteSuccess() or endTrial() end it.
    void beginTrial(const TargetId &target);
    /// Ends a trial without a result.
    void endTrial(const TargetId &target);
    void remove(const TargetId &target);

private:
    struct Record
    {
        int failuresInRow { 0 };
        int ejections { 0 }; ///< Since it last worked for a while; each doubles the ejection time.
        bool isEjected { false };
        bool isOutlier { false };
        bool isTrialInProgress { false };
        Deadline ejectedUntil;
        TimePoint readmittedAt {};
    };

    void eject(Record &record, bool isOutlier, TimePoint now, RandomSource &random);
    bool isOutlier(const OutlierSample &sample, Microseconds medianLatency, double medianErrors) const;
    std::size_t outlierCount() const;

    std::map<TargetId, Record> m_records;
};

} // namespace Sapphire
