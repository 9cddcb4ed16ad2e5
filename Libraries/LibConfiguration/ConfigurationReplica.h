#pragma once

#include <LibConfiguration/Command.h>

#include <deque>
#include <memory>

namespace Sapphire {

/// This VM's copy of the configuration, the latest entries for peers that are behind, and the withdrawn keys that are
/// not in the log yet. It only ever moves forward. Not safe to share between threads.
class ConfigurationReplica
{
public:
    ConfigurationReplica() : m_configuration(std::make_shared<const Configuration>())
    {
    }

    const std::shared_ptr<const Configuration> &configuration() const
    {
        return m_configuration;
    }
    const std::set<KeyId> &pendingWithdrawals() const
    {
        return m_pending;
    }
    bool isWithdrawn(const KeyId &key) const;

    /// Applies the entry and returns true if it follows on the own version.
    bool apply(const LogEntry &entry);
    /// Takes the configuration and returns true if it is newer than the own one.
    bool adopt(std::shared_ptr<const Configuration> configuration);
    /// Returns entries after the version, oldest first; empty if they are no longer kept.
    std::vector<LogEntry> entriesAfter(ConfigurationVersion version, std::size_t limit) const;
    /// Returns whether any of the keys was not known as withdrawn.
    bool addWithdrawals(const std::set<KeyId> &keys);

private:
    void keep(const LogEntry &entry);
    void dropDurableWithdrawals();

    std::shared_ptr<const Configuration> m_configuration;
    std::set<KeyId> m_pending;
    std::deque<LogEntry> m_entries;
    std::size_t m_commandCount { 0 };
};

} // namespace Sapphire
