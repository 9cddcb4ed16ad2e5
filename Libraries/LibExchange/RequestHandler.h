#pragma once

#include <LibCore/Result.h>
#include <LibExchange/Messages.h>
#include <LibExchange/Refusal.h>

#include <optional>
#include <span>

namespace Sapphire {

/// Where a request's body comes from. Reading is limited by the request's deadline.
class BodySource
{
public:
    virtual ~BodySource() = default;

    /// Fills the buffer as far as bytes are at hand and returns their number; zero at the end of the body.
    /// Fails with Cancelled if the caller is gone, Timeout at the deadline, ResourceExhausted beyond a size limit.
    [[nodiscard]] virtual Result<std::size_t> read(std::span<char> buffer) = 0;
};

/// Where a request's answer goes to.
class AnswerSink
{
public:
    virtual ~AnswerSink() = default;

    /// Called once, before any write. Fails with Cancelled if the caller is gone.
    [[nodiscard]] virtual Result<void> start(const AnswerHead &head) = 0;
    [[nodiscard]] virtual Result<void> write(std::span<const char> bytes) = 0;
    /// Called once after the whole body; without it the caller must see the answer as cut.
    [[nodiscard]] virtual Result<void> finish() = 0;
    /// Returns whether the caller has gone away, so that work for it can be cancelled.
    virtual bool isCancelled() const = 0;
};

/// How handling a request ended.
struct ExchangeReport
{
    /// Nothing if the whole answer went to the sink.
    std::optional<Refusal> refusal;
    /// Whether the sink's start() was called; a refusal can then no longer be sent as an answer of its own.
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

    /// Runs the request and passes the answer on as it arrives. Returns at the latest shortly after the deadline.
    virtual ExchangeReport handle(const RequestHead &head, BodySource &body, AnswerSink &sink) = 0;
};

} // namespace Sapphire
