#pragma once

#include <Entry/CallerRecord.h>
#include <Harness/HttpCall.h>
#include <LibCore/BootClock.h>

#include <Poco/Net/HTTPClientSession.h>

namespace Sapphire {

/// A caller's connection to a VM, kept open as long as the VM keeps it.
class CallerConnection
{
public:
    /// Connects to "ip:port" with the first request.
    explicit CallerConnection(const std::string &address);

    /// Sends one request and waits for its answer, a second longer than its deadline.
    CallerRecord send(const CallerRequestPlan &plan);

private:
    void exchange(const CallerRequestPlan &plan, CallerRecord &record);

    BootClock m_clock;
    std::string m_address;
    Poco::Net::HTTPClientSession m_session;
    bool m_isUsed { false };
};

/// Returns the headers of a request.
HttpHeaders headersOf(const CallerRequestPlan &plan);
/// Returns the request's body: bookings have one.
std::string bodyOf(const CallerRequestPlan &plan);

} // namespace Sapphire
