#pragma once

#include <LibConfiguration/Configuration.h>
#include <LibSteering/TargetSelector.h>
#include <LibTarget/ReplayableBody.h>
#include <LibTarget/TargetDeathListener.h>
#include <LibTarget/TargetEntry.h>
#include <LibTarget/TargetReportBook.h>

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
    /// A request that finds no room waits for so long at most, and never past the moment from which it could still
    /// be served by its deadline.
    Milliseconds longestWait { 500 };
};

/// What the caller of ServiceTargets::run() adds to a request.
struct RunContext
{
    std::string fingerprint {}; ///< Told to the TargetDeathListener if the target dies.
    /// Asked before each further attempt with the report of the last one; none are made if it is empty or refuses.
    std::function<bool(const AttemptReport &)> mayRetry {};
};

/// A target of the own region, for its observers.
struct ObservableTarget
{
    TargetId id;
    Poco::Net::SocketAddress address;
};

/// Owns what this VM knows of the targets of its region: selectors, states and connections. Safe to use from any
/// thread. Reports heard and rooms stated go through it.
class ServiceTargets
{
public:
    /// The listener may be null; it and the clock must outlive the object.
    ServiceTargets(ServiceTargetsSettings settings, const Clock &clock, TargetDeathListener *listener);

    /// Takes the targets of the configuration and the VMs of the own region, this one included. To be called when
    /// either changes.
    void update(const Configuration &configuration, const std::vector<VmId> &vmsOfRegion);

    /// Runs a request at a target of the service. After an attempt with verdict not run, and for an idempotent
    /// request also after a lost connection, it tries another target while the deadline, the body and the context
    /// allow it.
    ExchangeReport run(const RequestHead &head, BodySource &body, AnswerSink &sink, const RunContext &context);

    /// Takes an observation, own or heard from another VM.
    void takeReport(const TargetReport &report);
    /// Returns the newest observation of each target by this VM.
    std::vector<TargetReport> ownReports() const;
    /// Returns the newest observation of each target by each observer, as far as it is recent.
    std::vector<TargetReport> reports() const;
    std::vector<RegionRoom> rooms() const;
    /// Returns whether most of the service's targets answer far slower than they usually do.
    bool isSlow(const ServiceId &service) const;
    std::vector<ObservableTarget> observableTargets() const;

    /// Closes idle connections and looks for outliers. To be called about once a second.
    void tick();

private:
    struct Service : RefCounted<Service>
    {
        explicit Service(SlotPolicy policy) : selector(policy), random(RandomSource::seededBySystem())
        {
        }

        std::mutex mutex;
        std::condition_variable roomMayExist;
        TargetSelector selector;
        RandomSource random;
        int waiting { 0 };
        std::map<TargetId, RefPointer<TargetEntry>> targets;
    };
    /// A selected target and the attempt that was begun there, or why there is none.
    struct Choice
    {
        Selection selection;
        SelectedAttempt attempt {};
        RefPointer<TargetEntry> target {};
    };

    RefPointer<Service> find(const ServiceId &id) const;
    std::vector<std::pair<ServiceId, RefPointer<Service>>> services() const;
    RefPointer<TargetEntry> makeEntry(const TargetRecord &record, int connectionLimit) const;
    void updateService(Service &service, const std::vector<const TargetRecord *> &records,
                       const std::vector<VmId> &vmsOfRegion);

    Choice choose(Service &service, const RequestHead &head, const AnswerSink &sink,
                  const std::set<TargetId> &excluded);
    /// Waits until room may exist. Returns false if the request should not wait any longer.
    bool waitForRoom(Service &service, std::unique_lock<std::mutex> &lock, const Selection &selection,
                     Deadline waitLimit, const AnswerSink &sink);
    AttemptReport runAttempt(Service &service, const Choice &choice, const RequestHead &head, BodySource &body,
                             AnswerSink &sink, const std::string &fingerprint);
    /// Gives a trial less time than the request has.
    AttemptReport runLimited(Service &service, const Choice &choice, const RequestHead &head, BodySource &body,
                             AnswerSink &sink);
    /// Closes pooled connections that have not answered since a request began that got no answer.
    void closeOldConnections(Service &service, const Choice &choice, const AttemptReport &report) const;
    void noteEnd(Service &service, const Choice &choice, const AttemptReport &report);
    AttemptOutcome outcomeOf(const Service &service, const AttemptReport &report, const SelectedAttempt &attempt) const;
    /// Returns after how long without an answer a target counts as silent. The service's mutex must be held.
    static Microseconds enoughSilence(const Service &service, const TargetId &target);
    void checkDeath(Service &service, const Choice &choice);
    static bool mayTryAgain(const RequestHead &head, const AttemptReport &report, const ReplayableBody &body);
    static Refusal refusalOf(const Selection &selection);

    ServiceTargetsSettings m_settings;
    const Clock &m_clock;
    TargetDeathListener *m_listener;
    mutable std::shared_mutex m_mutex; ///< Guards m_services; taken before a service's own mutex.
    std::map<ServiceId, RefPointer<Service>> m_services;
    TargetReportBook m_reports;
};

} // namespace Sapphire
