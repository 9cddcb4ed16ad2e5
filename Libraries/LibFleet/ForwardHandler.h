#pragma once

#include <LibCore/Clock.h>
#include <LibExchange/RequestHandler.h>

#include <functional>
#include <memory>

namespace Sapphire {

struct FleetChannel;

/// Has another VM run a request: streams head and body to it and its answer back. Requests may run at the same time.
class ForwardHandler final : public RequestHandler
{
public:
    /// Returns the channel to use for a request. Without one the request is refused as not run.
    using ChannelSource = std::function<std::shared_ptr<FleetChannel>()>;

    ForwardHandler(VmId vm, ChannelSource channels, const Clock &clock, Milliseconds connectLimit);

    /// Reads the body on the calling thread: an answer that arrives while the body's next bytes are awaited is passed
    /// on after them. A stream that breaks after the head was sent may have run, unless the other VM said otherwise.
    ExchangeReport handle(const RequestHead &head, BodySource &body, AnswerSink &sink) override;

private:
    class Stream;

    const VmId m_vm;
    const ChannelSource m_channels;
    const Clock &m_clock;
    const Milliseconds m_connectLimit;
};

} // namespace Sapphire
