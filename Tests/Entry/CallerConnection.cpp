#include <Entry/CallerConnection.h>

#include <Poco/Exception.h>
#include <Poco/Net/HTTPRequest.h>
#include <Poco/Net/HTTPResponse.h>
#include <Poco/Net/NetException.h>
#include <Poco/Net/SocketAddress.h>
#include <Poco/StreamCopier.h>

namespace Sapphire {

namespace {

constexpr Milliseconds waitAfterDeadline { 1'000 };

} // namespace

HttpHeaders headersOf(const CallerRequestPlan &plan)
{
    return { { "Host", "h.example" },
             { "X-Attempt-Id", plan.id },
             { "X-Deadline-Ms", std::to_string(plan.deadline.count()) },
             { "Cookie", "X-Affinity-Key=" + plan.path.substr(plan.path.rfind('/') + 1) },
             { "Authorization", "Token " + plan.key } };
}

std::string bodyOf(const CallerRequestPlan &plan)
{
    return plan.method == "POST" ? "order " + plan.id : "";
}

CallerConnection::CallerConnection(const std::string &address)
    : m_address(address), m_session(Poco::Net::SocketAddress(address))
{
    m_session.setKeepAlive(true);
}

CallerRecord CallerConnection::send(const CallerRequestPlan &plan)
{
    CallerRecord record { plan.id, plan.method, m_address, m_clock.now(), {}, 0, false, "", plan.key };
    record.isOnUsedConnection = m_isUsed && m_session.connected();
    try {
        exchange(plan, record);
    } catch (const Poco::Net::ConnectionRefusedException &) {
        record.wasRefusedConnection = true;
        m_session.reset();
    } catch (const Poco::Exception &) {
        record.status = 0;
        m_session.reset();
    }
    record.endedAt = m_clock.now();
    return record;
}

void CallerConnection::exchange(const CallerRequestPlan &plan, CallerRecord &record)
{
    const Milliseconds wait = plan.deadline + waitAfterDeadline;
    m_session.setTimeout(Poco::Timespan(std::chrono::duration_cast<Microseconds>(wait).count()));
    Poco::Net::HTTPRequest request(plan.method, plan.path, Poco::Net::HTTPMessage::HTTP_1_1);
    request.setKeepAlive(true);
    for (const auto &[name, value] : headersOf(plan)) {
        request.set(name, value);
    }
    const std::string body = bodyOf(plan);
    request.setContentLength64(static_cast<Poco::Int64>(body.size()));
    m_session.sendRequest(request) << body << std::flush;
    m_isUsed = true;
    Poco::Net::HTTPResponse response;
    std::string received;
    Poco::StreamCopier::copyToString(m_session.receiveResponse(response), received);
    if (response.hasContentLength() && response.getContentLength64() != static_cast<Poco::Int64>(received.size())) {
        throw Poco::Net::MessageException("the answer is shorter than announced");
    }
    if (!response.getKeepAlive()) {
        m_session.reset();
    }
    record.status = response.getStatus();
    record.body = received;
    record.saidNotRun = response.has("X-Not-Executed");
}

} // namespace Sapphire
