#pragma once

#include <LibCore/RefCounted.h>
#include <LibNet/HttpParser.h>

#include <string>
#include <string_view>

namespace Sapphire {

class HttpServerConnection;

/// Handles one request of a connection. The connection and whoever works for the request share the handler, which may
/// outlive the connection.
class HttpRequestHandler : public RefCounted<HttpRequestHandler>
{
public:
    virtual ~HttpRequestHandler() = default;

    /// The head has arrived. The answer may be given here or later.
    virtual void begin(HttpServerConnection &connection, const HttpHead &head) = 0;
    /// Takes a piece of the body, without its framing. The last call, possibly without bytes, says that it is complete.
    virtual void bodyReceived(std::string_view bytes, bool isComplete) = 0;
    /// The caller has gone away or broken HTTP. The connection must not be used any more.
    virtual void callerGone() = 0;
    /// The caller has taken what was written.
    virtual void outputDrained()
    {
    }
};

/// Makes the handlers of a listener's requests.
class HttpHandlerFactory
{
public:
    virtual ~HttpHandlerFactory() = default;

    virtual RefPointer<HttpRequestHandler> createHandler() = 0;
};

/// Limits of the connections of a listener.
struct HttpServerLimits
{
    std::size_t headBytes { 16'384 };
    Milliseconds headTimeout { 3'000 }; ///< From the first byte of a head to its last.
    Milliseconds idleTimeout { 15'000 }; ///< Between two requests of a connection.
};

/// What a listener's connections ask about the process that they belong to.
class HttpServerPolicy
{
public:
    virtual ~HttpServerPolicy() = default;

    virtual HttpServerLimits limits() const
    {
        return {};
    }
    /// Whether connections are to be closed after their current answer.
    virtual bool isClosing() const
    {
        return false;
    }
};

} // namespace Sapphire
