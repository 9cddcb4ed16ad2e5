#pragma once

#include <LibConfiguration/ConfigurationSource.h>
#include <LibExchange/Refusal.h>

#include <string_view>
#include <variant>

namespace Sapphire {

/// Checks the key of a request and returns its customer. Must be called for each request, not once per connection.
class KeyCheck
{
public:
    explicit KeyCheck(const ConfigurationSource &configuration);

    /// Takes the value of the Authorization header: "Bearer KEYID.SECRET".
    /// Refuses with KeyRejected, or with NotFresh if this VM can't tell whether the key was withdrawn.
    std::variant<CustomerId, Refusal> check(std::string_view authorization, TimePoint now) const;

private:
    const ConfigurationSource &m_configuration;
};

} // namespace Sapphire
