#include <LibOperator/OperatorClient.h>

#include <LibCore/EventLog.h>

#include <Poco/Exception.h>
#include <Poco/Net/HTTPClientSession.h>
#include <Poco/Net/HTTPRequest.h>
#include <Poco/Net/HTTPResponse.h>
#include <Poco/Net/SocketAddress.h>
#include <Poco/StreamCopier.h>

namespace Sapphire {

namespace {

constexpr Milliseconds connectTimeout { 3'000 };
// The VM answers at the latest at the end of the wait; the answer may take this much longer to arrive.
constexpr Milliseconds answerMargin { 3'000 };

Poco::Timespan timespan(Milliseconds interval)
{
    return { interval.count() * 1'000 };
}

} // namespace

OperatorClient::OperatorClient(Settings settings) : m_settings(std::move(settings))
{
}

Result<std::string> OperatorClient::send(const std::string &text, const std::string &commandId) const
{
    const std::string body = "{\"text\":" + quoteJson(text) + ",\"commandId\":" + quoteJson(commandId)
        + ",\"operator\":" + quoteJson(m_settings.operatorId)
        + ",\"waitMilliseconds\":" + std::to_string(m_settings.wait.count()) + "}";
    Error last { ErrorCode::Unavailable, "no VM was given" };
    for (const std::string &vm : m_settings.vms) {
        const Outcome<std::string> answer = capture([&] {
            return sendTo(vm, body);
        });
        if (answer) {
            return answer.value();
        }
        if (answer.error().code != ErrorCode::Unavailable) {
            return fail(answer.error());
        }
        last.message = answer.error().message;
        last.verdict = combine(last.verdict, answer.error().verdict);
    }
    return fail(last);
}

Result<std::string> OperatorClient::sendTo(const std::string &vm, const std::string &body) const
{
    bool isSent = false;
    try {
        const Poco::Net::SocketAddress address(vm);
        Poco::Net::HTTPClientSession session(address);
        session.setTimeout(timespan(connectTimeout), timespan(connectTimeout),
                           timespan(m_settings.wait + answerMargin));
        Poco::Net::HTTPRequest request(Poco::Net::HTTPRequest::HTTP_POST, "/v1/commands",
                                       Poco::Net::HTTPMessage::HTTP_1_1);
        request.set("Authorization", "Bearer " + m_settings.token);
        request.setContentType("application/json");
        request.setContentLength64(static_cast<Poco::Int64>(body.size()));
        std::ostream &stream = session.sendRequest(request);
        isSent = true;
        stream << body;
        Poco::Net::HTTPResponse response;
        std::string answer;
        Poco::StreamCopier::copyToString(session.receiveResponse(response), answer);
        if (response.getStatus() == Poco::Net::HTTPResponse::HTTP_UNAUTHORIZED) {
            return fail(ErrorCode::PermissionDenied, "the operator token was rejected by " + vm);
        }
        if (response.getStatus() != Poco::Net::HTTPResponse::HTTP_OK) {
            return fail(ErrorCode::InvalidArgument, answer);
        }
        return answer;
    } catch (const Poco::Exception &exception) {
        return fail(ErrorCode::Unavailable, vm + ": " + exception.displayText(),
                    isSent ? Verdict::MayHaveRun : Verdict::NotRun);
    }
}

} // namespace Sapphire
