#pragma once

#include <LibCore/RefCounted.h>
#include <LibTarget/ConnectionPool.h>
#include <LibTarget/TargetExchange.h>

#include <list>
#include <mutex>
#include <string>
#include <vector>

namespace Sapphire {

/// The connection pool of one target and the requests of this VM that are in flight there. Shared by the current list
/// of targets and the requests that started under an earlier one.
class TargetClient final : public RefCounted<TargetClient>
{
public:
    using InFlight = std::list<std::string>;

    TargetClient(const TargetId &id, const Locality &locality, const VmId &ownVm,
                 const Poco::Net::SocketAddress &address, int connectionLimit, const Clock &clock)
        : m_pool(address, connectionLimit, clock), m_exchange({ id, locality, ownVm, &m_pool }, clock)
    {
    }

    ConnectionPool &pool()
    {
        return m_pool;
    }
    TargetExchange &exchange()
    {
        return m_exchange;
    }

    InFlight::iterator noteStart(const std::string &fingerprint)
    {
        const std::lock_guard guard(m_mutex);
        return m_inFlight.insert(m_inFlight.end(), fingerprint);
    }
    void noteEnd(InFlight::iterator request, bool hasAnswered)
    {
        const std::lock_guard guard(m_mutex);
        m_inFlight.erase(request);
        m_isDead = m_isDead && !hasAnswered;
    }
    /// Marks the target as dead and returns the fingerprints in flight, or nothing if it is marked already. An answer
    /// of the target removes the mark.
    std::optional<std::vector<std::string>> noteDied()
    {
        const std::lock_guard guard(m_mutex);
        if (m_isDead) {
            return std::nullopt;
        }
        m_isDead = true;
        return std::vector<std::string>(m_inFlight.begin(), m_inFlight.end());
    }

private:
    ConnectionPool m_pool;
    TargetExchange m_exchange;
    std::mutex m_mutex;
    InFlight m_inFlight;
    bool m_isDead { false };
};

} // namespace Sapphire
