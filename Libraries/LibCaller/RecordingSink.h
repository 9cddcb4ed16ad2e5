#pragma once

#include <LibExchange/RequestHandler.h>
#include <LibRequest/RequestRecord.h>

#include <functional>

namespace Sapphire {

/// Forwards an answer and records a copy of it, which is replayed when the request is sent again.
/// Recording continues if the caller disconnects.
class RecordingSink final : public AnswerSink
{
public:
    /// Longest body that is kept, in bytes.
    static constexpr std::size_t mostKept = 65'536;

    explicit RecordingSink(AnswerSink &sink);

    Result<void> start(const AnswerHead &head) override;
    Result<void> write(std::span<const char> bytes) override;
    Result<void> finish() override;
    bool isCancelled() const override;

    RecordedAnswer takeAnswer();

private:
    void forward(const std::function<Result<void>()> &step);

    AnswerSink &m_sink;
    RecordedAnswer m_answer;
    bool m_isTooLong { false };
    bool m_isCallerGone { false };
};

} // namespace Sapphire
