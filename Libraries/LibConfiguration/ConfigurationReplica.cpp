#include <LibConfiguration/ConfigurationReplica.h>

#include <LibConfiguration/ApplyCommand.h>
#include <LibConfiguration/ConfigurationEvents.h>

namespace Sapphire {

namespace {

/// Number of commands to keep for peers that are behind, counting each command of a batch: about 1 MB, or the changes
/// of a day.
constexpr std::size_t mostKeptCommands = 4096;

std::size_t commandCountOf(const LogEntry &entry)
{
    const auto *batch = std::get_if<CommandBatch>(&entry.command.body);
    return batch == nullptr ? 1 : std::max<std::size_t>(1, batch->commands.size());
}

bool isWithdrawnIn(const Configuration &configuration, const KeyId &key)
{
    const auto found = configuration.keys.find(key);
    return found != configuration.keys.end() && found->second.isWithdrawn;
}

} // namespace

bool ConfigurationReplica::isWithdrawn(const KeyId &key) const
{
    return m_pending.contains(key) || isWithdrawnIn(*m_configuration, key);
}

bool ConfigurationReplica::apply(const LogEntry &entry)
{
    if (entry.version != m_configuration->version.next()) {
        return false;
    }
    std::optional<Error> skipped;
    m_configuration = std::make_shared<const Configuration>(applyEntry(*m_configuration, entry, skipped));
    if (skipped) {
        logEvent(ConfigurationEvents::entrySkipped,
                 { { "version", entry.version }, { "command", entry.command.id }, { "error", skipped->message } });
    }
    keep(entry);
    dropDurableWithdrawals();
    return true;
}

bool ConfigurationReplica::adopt(std::shared_ptr<const Configuration> configuration)
{
    if (configuration->version <= m_configuration->version) {
        return false;
    }
    m_configuration = std::move(configuration);
    m_entries.clear();
    m_commandCount = 0;
    dropDurableWithdrawals();
    return true;
}

std::vector<LogEntry> ConfigurationReplica::entriesAfter(ConfigurationVersion version, std::size_t limit) const
{
    if (m_entries.empty() || version < ConfigurationVersion(m_entries.front().version.value() - 1)) {
        return {};
    }
    std::vector<LogEntry> entries;
    const std::size_t first = version.value() + 1 - m_entries.front().version.value();
    for (std::size_t i = first; i < m_entries.size() && entries.size() < limit; ++i) {
        entries.push_back(m_entries[i]);
    }
    return entries;
}

bool ConfigurationReplica::addWithdrawals(const std::set<KeyId> &keys)
{
    bool isAnyNew = false;
    for (const KeyId &key : keys) {
        if (!isWithdrawn(key)) {
            m_pending.insert(key);
            isAnyNew = true;
        }
    }
    return isAnyNew;
}

void ConfigurationReplica::keep(const LogEntry &entry)
{
    m_entries.push_back(entry);
    m_commandCount += commandCountOf(entry);
    while (m_commandCount > mostKeptCommands) {
        m_commandCount -= commandCountOf(m_entries.front());
        m_entries.pop_front();
    }
}

void ConfigurationReplica::dropDurableWithdrawals()
{
    std::erase_if(m_pending, [this](const KeyId &key) {
        return isWithdrawnIn(*m_configuration, key);
    });
}

} // namespace Sapphire
