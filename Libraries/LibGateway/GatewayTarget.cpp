#include <LibGateway/GatewayTarget.h>

#include <LibCore/Hash.h>
#include <LibNet/SocketAddresses.h>

#include <algorithm>

namespace Sapphire {

namespace {

// Targets close idle connections after some time, which not all of them announce; a request that is sent at that moment
// is lost. Connections that were idle for this long are not used again.
constexpr Milliseconds longestIdleTime { 8'000 };
// Connections are closed this long before the end of the idle time that a target announces.
constexpr Milliseconds idleMargin { 1'500 };
constexpr std::size_t mostIdleSessions = 16;
// A new measurement counts for this part (1/4) of the average.
constexpr int roundTripSmoothing = 4;

} // namespace

GatewayTarget::GatewayTarget(EventLoop &loop, const WireNames &names, TargetListEntry entry, Locality locality,
                             RefPointer<TargetNotices> notices, TargetsToCheck &toCheck)
    : m_loop(loop)
    , m_names(names)
    , m_entry(std::move(entry))
    , m_hash(stableHash(m_entry.id.text()))
    , m_locality(std::move(locality))
    , m_notices(std::move(notices))
    , m_toCheck(toCheck)
    , m_address(socketAddressOf(m_entry.address))
    , m_load(m_entry.slots)
    , m_coldUntil(m_entry.coldUntil)
{
}

void GatewayTarget::update(const TargetListEntry &entry)
{
    const bool isRestarted = entry.startedAtMilliseconds > m_entry.startedAtMilliseconds;
    const bool isMoved = entry.address != m_entry.address;
    if (isRestarted || isMoved) {
        m_recentObjects.clear();
        m_quality.reset();
        m_rateLimit = {};
        closeIdle(true);
    }
    if (isMoved) {
        m_address = socketAddressOf(entry.address);
    }
    if (entry.slots != m_entry.slots) {
        m_load.setSlots(entry.slots);
    }
    m_entry = entry;
    m_notices->setStart(entry.startedAtMilliseconds);
    m_isRemoved = false;
    // The list may be older than the last health check.
    m_coldUntil = std::max(m_coldUntil, entry.coldUntil);
    if (entry.isDraining) {
        closeIdle(true);
    }
}

bool GatewayTarget::noteLeaving(std::int64_t startedAtMilliseconds)
{
    const bool isNews = m_notices->noteLeaving(startedAtMilliseconds);
    if (isNews) {
        closeIdle(true);
    }
    return isNews;
}

void GatewayTarget::noteCheckPassed(TimePoint coldUntil)
{
    const bool wasUnverified = m_isUnverified;
    if (m_failures.isEjected()) {
        m_quality.reset();
    }
    m_failures.noteCheckPassed();
    m_isUnverified = false;
    m_coldUntil = coldUntil;
    if (wasUnverified && isCold(m_loop.now())) {
        m_recentObjects.clear();
    }
}

void GatewayTarget::setUnverified()
{
    m_isUnverified = true;
    requestCheck();
}

bool GatewayTarget::noteFailure(TimePoint now)
{
    const bool causesEjection = m_failures.noteFailure(now);
    if (causesEjection) {
        requestCheck();
    }
    return causesEjection;
}

void GatewayTarget::noteUnreachable(TimePoint now)
{
    m_failures.noteUnreachable(now);
    requestCheck();
}

void GatewayTarget::requestCheck()
{
    if (!m_isRemoved) {
        m_toCheck.insert(this);
    }
}

void GatewayTarget::noteConnected(Microseconds time)
{
    m_roundTrip += (time - m_roundTrip) / roundTripSmoothing;
}

void GatewayTarget::setRemoved()
{
    m_isRemoved = true;
    closeIdle(true);
}

Result<RefPointer<TargetSession>> GatewayTarget::acquire(TimePoint usedSince)
{
    closeIdle(false);
    while (!m_idle.empty()) {
        RefPointer<TargetSession> session = m_idle.back();
        if (session->idleSince() < usedSince) {
            break;
        }
        m_idle.pop_back();
        if (session->isReusable()) {
            return session;
        }
    }
    // A target that closes idle connections may have restarted, with empty caches.
    return TargetSession::create(
        m_loop, m_address, m_names,
        [this](Microseconds time) {
            noteConnected(time);
        },
        [this] {
            setUnverified();
        });
}

void GatewayTarget::release(const RefPointer<TargetSession> &session)
{
    if (session->isReusable() && isInService() && m_idle.size() < mostIdleSessions) {
        m_idle.push_back(session);
    } else {
        session->abandon();
    }
}

void GatewayTarget::closeIdle(bool isAll)
{
    const TimePoint now = m_loop.now();
    std::erase_if(m_idle, [&](const RefPointer<TargetSession> &session) {
        const bool isOld =
            now - session->idleSince() > longestIdleTime || session->idleEnd().remaining(now) < idleMargin;
        if (isAll || isOld || m_notices->isLeaving() || !session->isReusable()) {
            session->abandon();
            return true;
        }
        return false;
    });
}

} // namespace Sapphire
