#pragma once

#include <LibEntry/PlatformSources.h>
#include <LibEntry/SharedSourceSynchronizer.h>

#include <mutex>

namespace Sapphire {

/// Follows what the operators have written.
class OperatorStateSynchronizer final : public SharedSourceSynchronizer
{
public:
    OperatorStateSynchronizer(const SynchronizerContext &parts, OperatorStateSource &source,
                              std::function<void(const OperatorState &)> onState);

private:
    Result<Task> read(bool isReader) override;
    void applyUpdate(const Reading &update) override;
    std::optional<Task> processPendingUpdate() override;

    OperatorStateSource &m_source;
    std::mutex m_pendingMutex;
    std::optional<Reading> m_pendingUpdate; ///< News of another VM that the duty's thread is to take.
    std::function<void(const OperatorState &)> m_onState;
};

} // namespace Sapphire
