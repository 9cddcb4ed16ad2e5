#include <Fakes/AnswerRows.h>
#include <LibCore/BootClock.h>
#include <LibPlatform/PlatformConnection.h>
#include <LibTarget/ScriptedTarget.h>

#include <doctest/doctest.h>

using namespace Sapphire;

namespace {

constexpr std::size_t mostAnswerBytes = 100'000;

} // namespace

TEST_CASE("PlatformConnection takes what is an answer and nothing else")
{
    // Guards against a status or a body of the platform that is read from bytes that are no answer.
    const BootClock clock;
    for (const AnswerRow &row : answerRows()) {
        CAPTURE(row.name);
        ScriptedTarget server([&row](Poco::Net::StreamSocket &socket) {
            while (!ScriptedTarget::readHead(socket).empty()) {
                ScriptedTarget::write(socket, row.withFields());
            }
        });
        const Deadline deadline = Deadline::after(clock.now(), Milliseconds(3'000));
        Outcome<std::unique_ptr<PlatformConnection>> connection = capture([&] {
            return PlatformConnection::create(server.address(), deadline);
        });
        REQUIRE(connection);
        PlatformRequest request;
        request.method = "GET";
        request.path = "/rows";
        const Outcome<PlatformAnswer> answer = capture([&] {
            return connection.value()->exchange(request, mostAnswerBytes, deadline);
        });
        if (row.isValid) {
            REQUIRE(answer);
            CHECK(answer.value().status == row.status);
            CHECK(answer.value().body == row.body);
        } else {
            REQUIRE(!answer);
            CHECK(nameOf(answer.error().code) == nameOf(ErrorCode::Unavailable));
        }
    }
}
