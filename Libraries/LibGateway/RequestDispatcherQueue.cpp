#include <LibGateway/RequestDispatcher.h>

#include <LibGateway/Gateway.h>

#include <algorithm>

// The requests that wait for a target, and those that are refused because none will take them in time.

namespace Sapphire {

namespace {

constexpr Milliseconds tickInterval { 20 };
// How many waiting requests may find no target in one scan before the VM turns to its other work. Scans of a long queue
// would otherwise take all of a small VM's processor.
constexpr std::size_t mostMissesPerChange = 4;
constexpr std::size_t mostMissesPerTick = 16;

} // namespace

void RequestDispatcher::enqueue(GatewayRequest &request)
{
    Queue &queue = serviceOf(request.service()).waiting;
    const auto position = std::find_if(queue.begin(), queue.end(), [&](const RefPointer<GatewayRequest> &other) {
        return other->priority() > request.priority();
    });
    queue.insert(position, &request);
    startTick();
}

void RequestDispatcher::startTick()
{
    if (!m_tick.isRunning()) {
        m_tick.start(Deadline::after(m_loop.now(), tickInterval));
    }
}

void RequestDispatcher::cancel(GatewayRequest &request)
{
    const auto found = m_services.find(request.service());
    if (found != m_services.end()) {
        found->second.waiting.remove(&request);
    }
}

void RequestDispatcher::capacityChanged(const ServiceId &service)
{
    m_changed.insert(service);
    if (!m_isServeScheduled) {
        m_isServeScheduled = true;
        m_loop.later([this] {
            m_isServeScheduled = false;
            const std::set<ServiceId> changed = std::move(m_changed);
            m_changed.clear();
            for (const ServiceId &one : changed) {
                serve(serviceOf(one), 0, mostMissesPerChange);
            }
        });
    }
}

std::size_t RequestDispatcher::serve(const Service &service, std::size_t first, std::size_t mostMisses)
{
    const Queue waiting = service.waiting;
    std::size_t misses = 0;
    std::size_t position = 0;
    for (const RefPointer<GatewayRequest> &request : waiting) {
        if (position++ < first) {
            continue;
        }
        const Choice choice = choose(*request);
        if (maySend(*request, choice)) {
            // Removed from the queue before it is sent, since an attempt that fails at once queues it again.
            cancel(*request);
            send(*request, choice);
        } else if (++misses >= mostMisses) {
            return position;
        }
    }
    return 0;
}

void RequestDispatcher::refuseHopeless(const ServiceId &service)
{
    const TimePoint now = m_loop.now();
    const Queue waiting = serviceOf(service).waiting;
    const bool mayBeClosed = hasNotices(service);
    for (const RefPointer<GatewayRequest> &request : waiting) {
        if (const std::optional<Deadline> opensAt = mayBeClosed ? closedUntil(*request) : std::nullopt) {
            cancel(*request);
            refuseUntil(*request, *opensAt);
            continue;
        }
        const Microseconds work = m_processingTimes.warm(request->route());
        if (RequestQueueing::mustStopWaiting(request->times(), work, now)) {
            cancel(*request);
            request->refuse(RefusalReason::NoCapacity, request->verdict(), "no slot in time", retryTime(*request));
        }
    }
}

void RequestDispatcher::serveAll()
{
    std::vector<ServiceId> services;
    for (const auto &[id, service] : m_services) {
        if (!service.waiting.empty()) {
            services.push_back(id);
        }
    }
    for (const ServiceId &service : services) {
        Service &waiting = serviceOf(service);
        waiting.scanPosition = serve(waiting, waiting.scanPosition, mostMissesPerTick);
        refuseHopeless(service);
    }
    if (waitingCount() > 0) {
        startTick();
    }
}

bool RequestDispatcher::hasNotices(const ServiceId &service) const
{
    const std::vector<RegionTargets> &regions = m_targets.regionsOf(service);
    return std::any_of(regions.begin(), regions.end(), [this](const RegionTargets &region) {
        return std::any_of(region.targets.begin(), region.targets.end(), [this](const auto &target) {
            return target->notices().isLeaving() || target->notices().isPaused(m_loop.now());
        });
    });
}

std::optional<Deadline> RequestDispatcher::closedUntil(const GatewayRequest &request) const
{
    std::optional<Deadline> opensAt;
    for (const RegionTargets &region : m_targets.regionsOf(request.service())) {
        if (!request.mayRunIn(region.region)) {
            continue;
        }
        for (const RefPointer<GatewayTarget> &target : region.targets) {
            if (target->notices().isLeaving()) {
                opensAt = opensAt.value_or(Deadline::never());
            } else if (m_targets.takesWork(*target) && target->notices().isPaused(m_loop.now())) {
                opensAt = opensAt.value_or(Deadline::never()).earlier(target->notices().pausedUntil());
            } else if (m_targets.takesWork(*target) && !request.hasTried(target->id())) {
                return std::nullopt;
            }
        }
    }
    return opensAt;
}

void RequestDispatcher::refuseUntil(GatewayRequest &request, Deadline opensAt)
{
    const Deadline retryAt = RequestQueueing::retryFrom(request.times(), opensAt, m_random.unit(), m_loop.now());
    request.refuse(RefusalReason::NoCapacity, request.verdict(), "all targets are leaving or have asked for a pause",
                   retryAt);
}

std::size_t RequestDispatcher::waitingCount() const
{
    std::size_t count = 0;
    for (const auto &[id, service] : m_services) {
        count += service.waiting.size();
    }
    return count;
}

} // namespace Sapphire
