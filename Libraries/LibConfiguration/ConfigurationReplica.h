#pragma once

#include <LibConfiguration/Command.h>

#include <deque>
#include <memory>

namespace Sapphire {

/// This VM's copy of the configuration, the latest log entries for peers that are behind, and the key withdrawals that
/// are not in the log yet. The version never decreases. Not safe to share between threads.
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

    /// Applies the entry and returns true if it is the direct successor of the current version.
    bool apply(const LogEntry &entry);
    /// Replaces the configuration and returns true if the given one is newer.
    bool adopt(std::shared_ptr<const Configuration> configuration);
    /// Returns up to `limit` entries after the version, oldest first; none if they are no longer kept.
    std::vector<LogEntry> entriesAfter(ConfigurationVersion version, std::size_t limit) const;
    /// Marks keys as withdrawn. Returns whether any of the withdrawals was unknown before.
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
