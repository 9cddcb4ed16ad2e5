#pragma once

#include <LibCore/Deadline.h>
#include <LibCore/Ids.h>

#include <optional>
#include <string>

namespace Sapphire {

/// A request id that a look-up handed out, bound to the one process that may run it.
/// Text: "sd1~VM~INCARNATION~MINUTE~" followed by whatever the caller appends. The minute is that of the look-up, since
/// 1970; any VM may answer the look-up, so the clocks of two VMs are compared here, with a generous tolerance.
class IssuedRequestId
{
public:
    /// Returns nothing if the id was not issued by a look-up.
    static std::optional<IssuedRequestId> parse(const RequestId &id);
    /// Returns the text that a caller completes to an id.
    static std::string prefix(const VmIncarnation &issuer, Microseconds wallTime);

    const VmIncarnation &issuer() const
    {
        return m_issuer;
    }
    /// Returns whether the issuer may still run the id. Later it no longer remembers whether the id has run.
    bool isCurrent(Microseconds wallTime) const;

private:
    IssuedRequestId(VmIncarnation issuer, std::uint64_t minute);

    VmIncarnation m_issuer;
    std::uint64_t m_minute;
};

/// Returns whether the text is short enough and of the characters that a request id may have.
bool isValidRequestId(const std::string &text);

} // namespace Sapphire
