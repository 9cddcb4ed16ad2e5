#pragma once

#include <LibTarget/TargetAttempt.h>

namespace Sapphire {

/// Runs requests at one target, one attempt for each. Safe to use from any thread.
class TargetExchange final : public RequestHandler
{
public:
    /// The pool must outlive the exchange.
    TargetExchange(AttemptTarget target, const Clock &clock);

    ExchangeReport handle(const RequestHead &head, BodySource &body, AnswerSink &sink) override;
    /// Like handle(), but also reports what the attempt showed about the target.
    AttemptReport run(const RequestHead &head, BodySource &body, AnswerSink &sink);

private:
    AttemptTarget m_target;
    const Clock &m_clock;
};

} // namespace Sapphire
