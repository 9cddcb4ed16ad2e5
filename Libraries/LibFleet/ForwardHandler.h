#pragma once

#include <LibCore/Clock.h>
#include <LibExchange/RequestHandler.h>

#include <functional>
#include <memory>

namespace Sapphire {

struct FleetChannel;

/// Forwards requests to another VM: streams head and body to it and its answer back. Requests may run concurrently.
class ForwardHandler final : public RequestHandler
{
public:
    /// Returns the channel to use for a request. If it is null, the request is refused as not run.
    using ChannelSource = std::function<std::shared_ptr<FleetChannel>()>;

    ForwardHandler(VmId vm, ChannelSource channels, const Clock &clock, Milliseconds connectTimeout);

    /// Reads the body on the calling thread, so an answer that arrives while that blocks is delivered only afterwards.
    /// If the stream breaks after the head was sent, the request may have run, unless the other VM sent another
    /// verdict.
    ExchangeReport handle(const RequestHead &head, BodySource &body, AnswerSink &sink) override;

private:
    class Stream;

    const VmId m_vm;
    const ChannelSource m_channels;
    const Clock &m_clock;
    const Milliseconds m_connectTimeout;
};

} // namespace Sapphire
