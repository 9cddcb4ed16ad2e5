#pragma once

#include <LibCore/Result.h>
#include <LibExchange/Messages.h>
#include <LibExchange/Refusal.h>

#include <optional>
#include <span>

namespace Sapphire {

/// The source of a request's body. Reads are bounded by the request's deadline.
class BodySource
{
public:
    virtual ~BodySource() = default;

    /// Reads the bytes that are available into the buffer and returns their number; zero at the end of the body.
    /// Fails with Cancelled if the caller is gone, Timeout at the deadline, ResourceExhausted beyond a size limit.
    [[nodiscard]] virtual Result<std::size_t> read(std::span<char> buffer) = 0;
};

/// The destination of a request's answer.
class AnswerSink
{
public:
    virtual ~AnswerSink() = default;

    /// Called once, before any write. Fails with Cancelled if the caller is gone.
    [[nodiscard]] virtual Result<void> start(const AnswerHead &head) = 0;
    [[nodiscard]] virtual Result<void> write(std::span<const char> bytes) = 0;
    /// Called once after the whole body. Without this call, the caller must see the answer as truncated.
    [[nodiscard]] virtual Result<void> finish() = 0;
    /// Returns whether the caller has disconnected, so that work for it can be cancelled.
    virtual bool isCancelled() const = 0;
};

/// How handling a request ended.
struct ExchangeReport
{
    /// Empty if the whole answer went to the sink.
    std::optional<Refusal> refusal;
    /// Whether the sink's start() was called. A refusal can then no longer be sent as a separate answer.
    bool isAnswerStarted { false };

    Verdict verdict() const
    {
        return refusal ? refusal->verdict : Verdict::Ran;
    }
};

/// Something that can run a request: a target, or a VM in another region.
class RequestHandler
{
public:
    virtual ~RequestHandler() = default;

    /// Runs the request and forwards the answer to the sink as it arrives. Returns shortly after the deadline at the
    /// latest.
    virtual ExchangeReport handle(const RequestHead &head, BodySource &body, AnswerSink &sink) = 0;
};

} // namespace Sapphire
