#pragma once

#include <Entry/CallerRecord.h>
#include <Harness/HttpConnection.h>
#include <LibCore/BootClock.h>

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
    Result<HttpAnswer> exchange(const CallerRequestPlan &plan);

    BootClock m_clock;
    std::string m_address;
    std::unique_ptr<HttpConnection> m_connection; ///< Null until the next request opens one.
};

} // namespace Sapphire
