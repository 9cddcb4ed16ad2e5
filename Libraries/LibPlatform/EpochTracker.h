#pragma once

#include <LibCore/Result.h>
#include <LibCore/SourceRevision.h>

#include <mutex>
#include <optional>
#include <string>

namespace Sapphire {

/// Checks the epoch that the platform tells in each answer. Safe to share between threads.
class EpochTracker
{
public:
    /// Takes the epoch that an answer tells, and returns it. Zero as long as no answer has told one. Fails with
    /// DataLoss if the text is no number, if an answer before it told an epoch and this one doesn't, or if it is lower
    /// than one before: such an answer may hold what the platform no longer has.
    [[nodiscard]] Result<SourceEpoch> take(const std::optional<std::string> &text);

private:
    Result<SourceEpoch> check(const std::optional<std::string> &text) const;

    std::mutex m_mutex;
    SourceEpoch m_newest;
    bool m_isInvalid { false }; ///< The last answer's epoch was not usable, which has been logged.
};

} // namespace Sapphire
