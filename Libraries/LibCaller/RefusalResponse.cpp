#include <LibCaller/RefusalResponse.h>

#include <LibCaller/VmListJson.h>

#include <Poco/JSON/Object.h>

#include <sstream>

namespace Sapphire {

int statusOf(RefusalReason reason)
{
    switch (reason) {
    case RefusalReason::BadRequest:
        return 400;
    case RefusalReason::KeyRejected:
        return 401;
    case RefusalReason::NoSuchService:
        return 404;
    case RefusalReason::RequestIdInUse:
        return 409;
    case RefusalReason::TooLarge:
        return 413;
    case RefusalReason::SuspectedCrash:
        return 422;
    case RefusalReason::RateExceeded:
        return 429;
    case RefusalReason::Internal:
        return 500;
    case RefusalReason::TargetFailed:
    case RefusalReason::AnswerCut:
        return 502;
    case RefusalReason::DeadlineTooShort:
    case RefusalReason::DeadlinePassed:
        return 504;
    default:
        return 503;
    }
}

void sendRefusal(const Refusal &refusal, TimePoint now, Poco::Net::HTTPServerResponse &response)
{
    const std::string reason(nameOf(refusal.reason));
    const std::string verdict(nameOf(refusal.verdict));
    const int status = statusOf(refusal.reason);
    Poco::JSON::Object problem;
    problem.set("type", "urn:sapphiredeck:refusal:" + reason);
    problem.set("title", reason);
    problem.set("status", status);
    problem.set("detail", refusal.detail);
    problem.set("verdict", verdict);
    if (refusal.retryAt) {
        const auto wait = std::chrono::ceil<Milliseconds>(refusal.retryAt->remaining(now));
        problem.set("retryAfterMilliseconds", wait.count());
        response.set("Sapphire-Retry-After-Ms", std::to_string(wait.count()));
        response.set("Retry-After", std::to_string(std::chrono::ceil<std::chrono::seconds>(wait).count()));
    }
    if (!refusal.alternatives.empty()) {
        problem.set("alternatives", vmListJson(refusal.alternatives));
    }
    response.setStatus(static_cast<Poco::Net::HTTPResponse::HTTPStatus>(status));
    response.setReason(Poco::Net::HTTPResponse::getReasonForStatus(response.getStatus()));
    response.set("Sapphire-Verdict", verdict);
    response.set("Sapphire-Reason", reason);
    if (status == 401) {
        response.set("WWW-Authenticate", "Bearer");
    }
    response.setContentType("application/problem+json");
    std::ostringstream text;
    problem.stringify(text);
    response.sendBuffer(text.str().data(), text.str().size());
}

} // namespace Sapphire
