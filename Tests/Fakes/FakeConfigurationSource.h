#pragma once

#include <LibConfiguration/ConfigurationSource.h>

#include <atomic>
#include <mutex>
#include <set>

namespace Sapphire {

/// A configuration source whose content a test sets directly. Thread-safe.
class FakeConfigurationSource final : public ConfigurationSource
{
public:
    std::shared_ptr<const Configuration> configuration() const override
    {
        const std::lock_guard guard(m_mutex);
        return m_configuration;
    }
    bool isFresh(TimePoint) const override
    {
        return m_isFresh;
    }
    bool isWithdrawn(const KeyId &key) const override
    {
        const std::lock_guard guard(m_mutex);
        return m_withdrawn.contains(key);
    }
    InForceStatus inForceStatus(ConfigurationVersion, TimePoint) const override
    {
        return { true, {} };
    }

    void set(Configuration configuration)
    {
        const std::lock_guard guard(m_mutex);
        m_configuration = std::make_shared<const Configuration>(std::move(configuration));
    }
    void withdraw(const KeyId &key)
    {
        const std::lock_guard guard(m_mutex);
        m_withdrawn.insert(key);
    }
    void setFresh(bool isFresh)
    {
        m_isFresh = isFresh;
    }

private:
    mutable std::mutex m_mutex;
    std::shared_ptr<const Configuration> m_configuration { std::make_shared<const Configuration>() };
    std::set<KeyId> m_withdrawn;
    std::atomic<bool> m_isFresh { true };
};

} // namespace Sapphire
