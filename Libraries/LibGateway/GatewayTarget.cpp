#include <LibGateway/GatewayTarget.h>

#include <LibCore/Hash.h>

#include <algorithm>

namespace Sapphire {

namespace {

// Targets close idle connections after a time that they state or keep to themselves; a request that crosses the close
// is lost. Connections that were idle for this long are not used again.
constexpr Milliseconds longestIdleTime { 8'000 };
// Of the idle time that a target states, so much is left unused.
constexpr Milliseconds idleMargin { 1'500 };
constexpr std::size_t mostIdleSessions = 16;
constexpr int roundTripSteps = 4;

} // namespace

GatewayTarget::GatewayTarget(EventLoop &loop, const WireNames &names, KnownTarget known, Locality place,
                             TargetsToCheck &toCheck)
    : m_loop(loop)
    , m_names(names)
    , m_known(std::move(known))
    , m_hash(stableHash(m_known.id.text()))
    , m_place(std::move(place))
    , m_toCheck(toCheck)
    , m_address(m_known.address)
    , m_load(m_known.slots)
    , m_coldUntil(m_known.coldUntil)
{
}

void GatewayTarget::update(const KnownTarget &known)
{
    const bool isRestarted = known.startedAtMilliseconds > m_known.startedAtMilliseconds;
    const bool isMoved = known.address != m_known.address;
    if (isRestarted || isMoved) {
        m_warmObjects.clear();
        m_quality.reset();
        closeIdle(true);
    }
    if (isMoved) {
        m_address = Poco::Net::SocketAddress(known.address);
    }
    if (known.slots != m_known.slots) {
        m_load.setSlots(known.slots);
    }
    m_known = known;
    m_isGone = false;
    // The list may be older than the last health check.
    m_coldUntil = std::max(m_coldUntil, known.coldUntil);
    if (known.isDraining) {
        closeIdle(true);
    }
}

void GatewayTarget::noteCheckPassed(TimePoint coldUntil)
{
    const bool wasSuspect = m_isSuspect;
    if (m_failures.isOut()) {
        m_quality.reset();
    }
    m_failures.noteCheckPassed();
    m_isSuspect = false;
    m_coldUntil = coldUntil;
    if (wasSuspect && isCold(m_loop.now())) {
        m_warmObjects.clear();
    }
}

void GatewayTarget::setSuspect()
{
    m_isSuspect = true;
    requestCheck();
}

bool GatewayTarget::noteFailure(TimePoint now)
{
    const bool isTakenOut = m_failures.noteFailure(now);
    if (isTakenOut) {
        requestCheck();
    }
    return isTakenOut;
}

void GatewayTarget::noteUnreachable(TimePoint now)
{
    m_failures.noteUnreachable(now);
    requestCheck();
}

void GatewayTarget::requestCheck()
{
    if (!m_isGone) {
        m_toCheck.insert(this);
    }
}

void GatewayTarget::noteConnected(Microseconds time)
{
    m_roundTrip += (time - m_roundTrip) / roundTripSteps;
}

void GatewayTarget::setGone()
{
    m_isGone = true;
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
    // A target that ends idle connections may have started anew, with empty caches.
    return TargetSession::create(
        m_loop, m_address, m_names,
        [this](Microseconds time) {
            noteConnected(time);
        },
        [this] {
            setSuspect();
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
        if (isAll || isOld || !session->isReusable()) {
            session->abandon();
            return true;
        }
        return false;
    });
}

} // namespace Sapphire
