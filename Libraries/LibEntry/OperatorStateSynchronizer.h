#pragma once

#include <LibEntry/PlatformSources.h>
#include <LibEntry/SharedSourceSynchronizer.h>

#include <mutex>

namespace Sapphire {

/// Keeps a local copy of the operators' rules and evacuated zones in step with the platform.
class OperatorStateSynchronizer final : public SharedSourceSynchronizer
{
public:
    OperatorStateSynchronizer(const SynchronizerContext &context, OperatorStateSource &source,
                              std::function<void(const OperatorState &)> onState);

private:
    Result<Task> read(bool isReader) override;
    void applyUpdate(const SourceUpdate &update) override;
    std::optional<Task> processPendingUpdate() override;

    /// Passes the state on, unless a newer one was passed on before.
    void applyState(const OperatorState &state);

    OperatorStateSource &m_source;
    std::mutex m_pendingMutex;
    std::optional<SourceUpdate> m_pendingUpdate; ///< Of another VM, to be processed on a thread of its own.
    std::function<void(const OperatorState &)> m_onState;
    std::uint64_t m_appliedDigest { 0 }; ///< Of the state that was passed on last.
    SourceRevision m_appliedRevision;
    std::string m_document; ///< That state in serialized form, for other VMs.
};

} // namespace Sapphire
