#pragma once

#include <StandIns/Platform/HttpReply.h>
#include <StandIns/Platform/PlatformServerParts.h>

#include <string>
#include <vector>

namespace Sapphire {

/// The endpoints under /control/, with which a test switches faults on and changes the VM list:
///     PUT /control/latency {"milliseconds": n}
///     PUT /control/outage {"mode": "none|refuse|silent"}
///     PUT /control/lost-answers {"count": n}
///     PUT /control/vm-list-lag {"milliseconds": n}
///     PUT, DELETE /control/vms/ID; POST /control/vms/ID/leaving
///     GET, DELETE /control/counters
class PlatformControl
{
public:
    explicit PlatformControl(PlatformServerParts &parts);

    /// Answers one request; the segments are those after "control".
    HttpReply answer(const std::string &method, const std::vector<std::string> &segments, const std::string &body);

private:
    HttpReply applySetting(const std::string &name, const std::string &body);
    HttpReply changeVm(const std::string &method, const std::vector<std::string> &segments, const std::string &body);
    HttpReply putVm(const std::string &id, const std::string &body);
    HttpReply counters() const;

    PlatformServerParts &m_parts;
};

} // namespace Sapphire
