#pragma once

#include <LibCore/Deadline.h>
#include <LibCore/Ids.h>

#include <optional>
#include <string>

namespace Sapphire {

/// A request id that was issued by a look-up. Only the process that it names, the issuer, may run it.
/// Its text is "sd1~VM~INCARNATION~MINUTE~" and what the caller appends. MINUTE is the wall time of the look-up in
/// minutes since 1970, by the clock of the VM that answered it. This may be another VM than the issuer, so the check
/// allows for a difference between their clocks.
class IssuedRequestId
{
public:
    /// Returns nothing if the id was not issued by a look-up.
    static std::optional<IssuedRequestId> parse(const RequestId &id);
    /// Returns the prefix to which the caller appends its own part of the id.
    static std::string prefix(const VmIncarnation &issuer, Microseconds wallTime);

    const VmIncarnation &issuer() const
    {
        return m_issuer;
    }
    /// Returns whether the issuer may still run the id. It refuses older ids, since it no longer remembers whether they
    /// have run.
    bool isCurrent(Microseconds wallTime) const;

private:
    IssuedRequestId(VmIncarnation issuer, std::uint64_t minute);

    VmIncarnation m_issuer;
    std::uint64_t m_minute;
};

/// Returns whether the text has 1 to 200 printable ASCII characters without space, '/' and '"'.
bool isValidRequestId(const std::string &text);

} // namespace Sapphire
