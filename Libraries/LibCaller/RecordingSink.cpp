#include <LibCaller/RecordingSink.h>

namespace Sapphire {

RecordingSink::RecordingSink(AnswerSink &sink) : m_sink(sink)
{
}

Result<void> RecordingSink::start(const AnswerHead &head)
{
    m_answer.status = head.status;
    m_answer.headers = head.headers;
    m_answer.target = head.target;
    forward([&] {
        return m_sink.start(head);
    });
    return {};
}

Result<void> RecordingSink::write(std::span<const char> bytes)
{
    if (m_answer.body.size() + bytes.size() > mostKept) {
        m_isTooLong = true;
        m_answer.body.clear();
    }
    if (!m_isTooLong) {
        m_answer.body.append(bytes.data(), bytes.size());
    }
    forward([&] {
        return m_sink.write(bytes);
    });
    return {};
}

Result<void> RecordingSink::finish()
{
    m_answer.isWhole = !m_isTooLong;
    forward([&] {
        return m_sink.finish();
    });
    return {};
}

bool RecordingSink::isCancelled() const
{
    // The request is not cancelled when its caller disconnects, since its outcome must be recorded under its id.
    return false;
}

void RecordingSink::forward(const std::function<Result<void>()> &step)
{
    if (!m_isCallerGone) {
        m_isCallerGone = !capture(step);
    }
}

RecordedAnswer RecordingSink::takeAnswer()
{
    return std::move(m_answer);
}

} // namespace Sapphire
