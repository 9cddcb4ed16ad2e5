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

    OperatorStateSource &m_source;
    std::mutex m_pendingMutex;
    std::optional<SourceUpdate> m_pendingUpdate; ///< Of another VM, to be processed on the synchronizer's thread.
    std::function<void(const OperatorState &)> m_onState;
};

} // namespace Sapphire
