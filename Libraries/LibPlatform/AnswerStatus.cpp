#include <LibPlatform/AnswerStatus.h>

namespace Sapphire {

namespace {

constexpr int firstSuccess = 200;
constexpr int firstRedirection = 300;
constexpr int statusNotFound = 404;
constexpr int statusConflict = 409;
constexpr int statusPreconditionFailed = 412;

ErrorCode codeOf(int status)
{
    switch (status) {
    case statusNotFound:
        return ErrorCode::NotFound;
    case statusConflict:
    case statusPreconditionFailed:
        return ErrorCode::Conflict;
    default:
        return ErrorCode::InvalidArgument;
    }
}

} // namespace

Result<void> checkAnswer(const PlatformRequest &request, const PlatformAnswer &answer)
{
    if (answer.status >= firstSuccess && answer.status < firstRedirection) {
        return {};
    }
    return fail(codeOf(answer.status),
                request.method + " " + request.path + ": answered with status " + std::to_string(answer.status));
}

} // namespace Sapphire
