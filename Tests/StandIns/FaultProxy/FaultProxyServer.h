#pragma once

#include <LibCore/Result.h>
#include <StandIns/FaultProxy/ProxyEngine.h>

#include <memory>
#include <string>

namespace Sapphire {

/// The fault proxy with its HTTP control endpoints:
///     POST /control/faults, as parseFaultCommand() describes
///     POST /control/links {"links":[{"name","listen","connect"}]}
///     GET /control/links {"links":[{"name","accepted","open","bytesToServer","bytesToClient"}]}
class FaultProxyServer
{
public:
    /// Starts to listen for control requests on "ip:port". Fails with InvalidArgument if the address cannot be used.
    [[nodiscard]] static Result<std::unique_ptr<FaultProxyServer>> create(const std::string &controlAddress,
                                                                          int workers);
    ~FaultProxyServer();
    FaultProxyServer(const FaultProxyServer &) = delete;
    FaultProxyServer &operator=(const FaultProxyServer &) = delete;

    /// Returns "ip:port".
    std::string controlAddress() const;
    ProxyEngine &engine();

private:
    struct Http;

    FaultProxyServer();

    std::unique_ptr<ProxyEngine> m_engine;
    std::unique_ptr<Http> m_http;
};

} // namespace Sapphire
