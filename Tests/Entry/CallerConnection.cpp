#include <Entry/CallerConnection.h>

#include <Poco/String.h>

namespace Sapphire {

namespace {

constexpr Milliseconds waitAfterDeadline { 1'000 };

HttpHeaders headersOf(const CallerRequestPlan &plan)
{
    return { { "Host", "h.example" },
             { "X-Attempt-Id", plan.id },
             { "X-Deadline-Ms", std::to_string(plan.deadline.count()) },
             { "Cookie", "X-Affinity-Key=" + plan.path.substr(plan.path.rfind('/') + 1) },
             { "Authorization", "Token " + plan.key } };
}

} // namespace

CallerConnection::CallerConnection(const std::string &address) : m_address(address)
{
}

CallerRecord CallerConnection::send(const CallerRequestPlan &plan)
{
    CallerRecord record { plan.id, plan.method, m_address, m_clock.now(), {}, 0, false, "", plan.key };
    record.isOnUsedConnection = m_connection != nullptr;
    const Outcome<HttpAnswer> answer = capture([&] {
        return exchange(plan);
    });
    record.endedAt = m_clock.now();
    const bool isKept =
        answer && Poco::icompare(answer.value().header("Connection").value_or(""), std::string("close")) != 0;
    if (!isKept) {
        m_connection.reset();
    }
    if (answer) {
        record.status = answer.value().status;
        record.body = answer.value().body;
        record.saidNotRun = answer.value().header("X-Not-Executed").has_value();
    } else {
        record.wasRefusedConnection = answer.error().verdict == Verdict::NotRun;
    }
    return record;
}

Result<HttpAnswer> CallerConnection::exchange(const CallerRequestPlan &plan)
{
    const Deadline deadline = Deadline::after(m_clock.now(), plan.deadline + waitAfterDeadline);
    if (!m_connection) {
        BOOST_LEAF_ASSIGN(m_connection, HttpConnection::create(Poco::Net::SocketAddress(m_address), deadline));
    }
    const std::string body = plan.method == "POST" ? "order " + plan.id : "";
    return m_connection->exchange(writeRequest(plan.method, plan.path, headersOf(plan), body), false, deadline);
}

} // namespace Sapphire
