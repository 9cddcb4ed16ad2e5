#pragma once

#include <LibConfiguration/Configuration.h>
#include <LibSteering/TargetSelector.h>
#include <LibTarget/RecentTargetReports.h>
#include <LibTarget/ReplayableBody.h>
#include <LibTarget/TargetClient.h>
#include <LibTarget/TargetDeathListener.h>

#include <atomic>
#include <condition_variable>
#include <functional>
#include <map>
#include <shared_mutex>

namespace Sapphire {

struct ServiceTargetsSettings
{
    VmId ownVm;
    RegionId region;
    SlotPolicy slotPolicy { SlotPolicy::Optimistic };
    /// Longest time that a request waits for capacity. It also never waits past the latest moment at which it could
    /// start and still be answered by its deadline.
    Milliseconds longestWait { 500 };
};

/// Options of ServiceTargets::run() for one request.
struct RunContext
{
    std::string fingerprint {}; ///< Passed to the TargetDeathListener if the target dies.
    /// Called before each retry with the report of the last attempt. No retry is made if it is empty or returns false.
    std::function<bool(const AttemptReport &)> mayRetry {};
};

/// A target of the own region that can be observed.
struct ObservableTarget
{
    TargetId id;
    Poco::Net::SocketAddress address;
};

/// Runs requests at the targets of this VM's region. Holds the selectors, states and connections of all services, takes
/// the reports of observers and provides the usage of the region. Safe to use from any thread.
class ServiceTargets
{
public:
    /// The listener may be null; it and the clock must outlive the object.
    ServiceTargets(ServiceTargetsSettings settings, const Clock &clock, TargetDeathListener *listener);

    /// Sets the targets from the configuration and the VMs of the own region, including this one. Must be called when
    /// either changes.
    void update(const Configuration &configuration, const std::vector<VmId> &vmsOfRegion);

    /// Runs a request at a target of the service. After an attempt with the verdict not run, or after any failed
    /// attempt of an idempotent request, it tries another target while the deadline, the body and the context allow it.
    ExchangeReport run(const RequestHead &head, BodySource &body, AnswerSink &sink, const RunContext &context);

    /// Takes a report of this VM or of another one.
    void takeReport(const TargetReport &report);
    /// Returns this VM's newest report of each target, if it is recent.
    std::vector<TargetReport> ownReports() const;
    /// Returns the newest report of each target by each observer, if it is recent.
    std::vector<TargetReport> reports() const;
    /// Returns the slots and busy slots of the region for each service.
    std::vector<RegionUsage> regionUsages() const;
    /// Returns whether the latency of more than half of the service's targets is over twice its baseline.
    bool isSlow(const ServiceId &service) const;
    std::vector<ObservableTarget> observableTargets() const;

    /// Closes expired connections, ejects outliers and drops old reports. Must be called about once a second.
    void tick();

private:
    struct Service : RefCounted<Service>
    {
        explicit Service(SlotPolicy policy) : selector(policy), random(RandomSource::seededBySystem())
        {
        }

        std::mutex mutex;
        std::condition_variable capacityMayExist;
        TargetSelector selector;
        RandomSource random;
        int waiting { 0 };
        std::map<TargetId, RefPointer<TargetClient>> targets;
    };
    /// A selected target and the attempt that was started there, or the reason why there is none.
    struct Choice
    {
        Selection selection;
        SelectedAttempt attempt {};
        RefPointer<TargetClient> target {};
    };

    RefPointer<Service> find(const ServiceId &id) const;
    std::vector<std::pair<ServiceId, RefPointer<Service>>> services() const;
    RefPointer<TargetClient> makeTargetClient(const TargetRecord &record, int connectionLimit) const;
    void updateService(Service &service, const std::vector<const TargetRecord *> &records,
                       const std::vector<VmId> &vmsOfRegion);

    Choice choose(Service &service, const RequestHead &head, const AnswerSink &sink,
                  const std::set<TargetId> &excluded);
    /// Waits until there may be capacity. Returns false if the request should not wait any longer.
    bool waitForCapacity(Service &service, std::unique_lock<std::mutex> &lock, const Selection &selection,
                         Deadline waitLimit, const AnswerSink &sink);
    AttemptReport runAttempt(Service &service, const Choice &choice, const RequestHead &head, BodySource &body,
                             AnswerSink &sink, const std::string &fingerprint);
    /// Runs one attempt. A trial of an idempotent request gets a shorter deadline than the request.
    AttemptReport runLimited(Service &service, const Choice &choice, const RequestHead &head, BodySource &body,
                             AnswerSink &sink);
    /// Closes idle connections that were last known to work before a request was sent that got no answer: those to its
    /// target, and those to all targets of the service if the request was sent on a reused connection at least 200 ms
    /// ago.
    void closeOldConnections(Service &service, const Choice &choice, const AttemptReport &report) const;
    void noteEnd(Service &service, const Choice &choice, const AttemptReport &report);
    AttemptOutcome outcomeOf(const Service &service, const AttemptReport &report, const SelectedAttempt &attempt) const;
    /// Returns the time without an answer after which a target counts as silent. The service's mutex must be held.
    static Microseconds silenceThreshold(const Service &service, const TargetId &target);
    void checkForDeath(Service &service, const Choice &choice);
    static bool isRetryable(const RequestHead &head, const AttemptReport &report, const ReplayableBody &body);
    static Refusal refusalOf(const Selection &selection);

    ServiceTargetsSettings m_settings;
    const Clock &m_clock;
    TargetDeathListener *m_listener;
    mutable std::shared_mutex m_mutex; ///< Guards m_services; taken before a service's own mutex.
    std::map<ServiceId, RefPointer<Service>> m_services;
    RecentTargetReports m_reports;
};

} // namespace Sapphire
