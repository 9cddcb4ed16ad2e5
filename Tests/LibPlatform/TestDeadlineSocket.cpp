#include <LibCore/BootClock.h>
#include <LibPlatform/DeadlineSocket.h>

#include <Poco/Exception.h>
#include <Poco/Net/ServerSocket.h>
#include <Poco/Net/StreamSocket.h>

#include <doctest/doctest.h>

#include <csignal>

#include <sys/wait.h>
#include <unistd.h>

using namespace Sapphire;

namespace {

constexpr Milliseconds timeLeft { 200 };
constexpr useconds_t timeBeforePause = 50'000;
constexpr useconds_t pause = 400'000;

/// Starts a process that suspends this one, sends a byte to the socket meanwhile and lets it go on after the deadline.
pid_t suspendOwnProcess(int socket)
{
    const pid_t own = ::getpid();
    const pid_t child = ::fork();
    if (child == 0) {
        // Only functions that are safe after a fork of a process with threads.
        ::usleep(timeBeforePause);
        ::kill(own, SIGSTOP);
        const ssize_t sent = ::write(socket, "x", 1);
        ::usleep(pause);
        ::kill(own, SIGCONT);
        ::_exit(sent == 1 ? 0 : 1);
    }
    return child;
}

} // namespace

TEST_CASE("DeadlineSocket refuses an answer that a pause of the process has made late")
{
    // Guards against an old answer of the platform that a VM takes for a new one when it goes on.
    Poco::Net::ServerSocket listener(Poco::Net::SocketAddress("127.0.0.1", 0));
    auto *const socket = new DeadlineSocket;
    Poco::Net::StreamSocket owner(socket);
    socket->connect(listener.address());
    Poco::Net::StreamSocket peer = listener.acceptConnection();
    const pid_t child = suspendOwnProcess(static_cast<int>(peer.impl()->sockfd()));
    REQUIRE(child > 0);
    socket->start(Deadline::after(BootClock().now(), timeLeft));
    char byte = 0;
    CHECK_THROWS_AS(socket->receiveBytes(&byte, 1, 0), Poco::TimeoutException);
    int status = -1;
    REQUIRE(::waitpid(child, &status, 0) == child);
    CHECK(status == 0);
}
