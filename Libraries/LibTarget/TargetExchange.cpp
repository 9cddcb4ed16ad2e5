#include <LibTarget/TargetExchange.h>

namespace Sapphire {

TargetExchange::TargetExchange(AttemptTarget target, const Clock &clock) : m_target(std::move(target)), m_clock(clock)
{
}

ExchangeReport TargetExchange::handle(const RequestHead &head, BodySource &body, AnswerSink &sink)
{
    return run(head, body, sink).exchange;
}

AttemptReport TargetExchange::run(const RequestHead &head, BodySource &body, AnswerSink &sink)
{
    return TargetAttempt(m_target, m_clock, head, body, sink).run();
}

} // namespace Sapphire
