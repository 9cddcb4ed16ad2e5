#include <Harness/ControlCall.h>

#include <Harness/HttpCall.h>
#include <Harness/WaitFor.h>

#include <chrono>

namespace Sapphire {

namespace {

constexpr std::chrono::seconds startTimeout { 10 };
constexpr int firstErrorStatus = 400;

} // namespace

Result<std::string> controlCall(const std::string &address, const std::string &method, const std::string &path,
                                const std::string &body)
{
    BOOST_LEAF_AUTO(answer, (HttpCall { method, "http://" + address + path, {}, body }.run()));
    if (answer.status >= firstErrorStatus) {
        return fail(ErrorCode::InvalidArgument,
                    method + " " + path + ": status " + std::to_string(answer.status) + ": " + answer.body);
    }
    return std::move(answer.body);
}

Result<void> waitUntilReady(ChildProcess &process, const std::string &address, const std::string &path)
{
    bool isReady = false;
    const bool isSettled = waitFor(
        [&] {
            isReady = static_cast<bool>(capture([&] {
                return controlCall(address, "GET", path, "");
            }));
            return isReady || !process.isRunning();
        },
        after(startTimeout));
    if (isSettled && isReady && process.isRunning()) {
        return {};
    }
    return fail(ErrorCode::Unavailable, "the program at " + address + " did not start: " + process.errorOutput());
}

} // namespace Sapphire
