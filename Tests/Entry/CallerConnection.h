#pragma once

#include <Entry/CallerRecord.h>
#include <Harness/HttpConnection.h>
#include <LibCore/BootClock.h>

namespace Sapphire {

/// A caller's persistent connection to a VM, reused until the VM closes it.
class CallerConnection
{
public:
    /// Connects to "ip:port" with the first request.
    explicit CallerConnection(const std::string &address);

    /// Sends one request and waits for its answer until 1 s after the request's deadline.
    CallerRecord send(const CallerRequestPlan &plan);

private:
    Result<HttpAnswer> exchange(const CallerRequestPlan &plan);

    BootClock m_clock;
    std::string m_address;
    std::unique_ptr<HttpConnection> m_connection; ///< Null until the next request opens one.
};

} // namespace Sapphire
