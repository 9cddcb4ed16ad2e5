#pragma once

#include <LibEntry/PlatformSources.h>
#include <LibEntry/SharedSourceDuty.h>

#include <mutex>

namespace Sapphire {

/// Follows what the operators have written.
class OperatorStateDuty final : public SharedSourceDuty
{
public:
    OperatorStateDuty(const SharedSourceParts &parts, OperatorStateSource &source,
                      std::function<void(const OperatorState &)> onState);

private:
    Result<Task> read(bool isReader) override;
    void applyReading(const SourceUpdate &reading) override;
    std::optional<Task> takeTold() override;

    OperatorStateSource &m_source;
    std::mutex m_toldMutex;
    std::optional<SourceUpdate> m_told; ///< News of another VM that the duty's thread is to take.
    std::function<void(const OperatorState &)> m_onState;
};

} // namespace Sapphire
